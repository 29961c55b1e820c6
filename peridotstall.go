// Package peridotstall runs a balancer or an agent inside another program. The
// command peridotstall uses it as well. Programs that send requests use the
// package caller instead.
package peridotstall

import (
	"context"
	"io"

	"github.com/peridotstall/peridotstall/internal/daemon"
	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/settings"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// Process is a running balancer or agent.
type Process interface {
	// Ready returns a channel that is closed when the process has a confirmed
	// configuration and serves.
	Ready() <-chan struct{}
	// Ended returns a channel that receives the result of serving, nil or an error,
	// when the process ends.
	Ended() <-chan error
	// Stop stops the process gracefully, or immediately when ctx ends. It returns
	// the number of flows and requests that were cut. The reason is logged.
	Stop(ctx context.Context, reason string) (cut int)
}

// SettingsError reports invalid settings. No process was started.
type SettingsError struct {
	// Err names the file, the key, the value and the allowed values.
	Err error
}

// Error implements error.
func (e *SettingsError) Error() string { return e.Err.Error() }

// Unwrap returns the error in the settings.
func (e *SettingsError) Unwrap() error { return e.Err }

// StartBalancer starts a balancer with the settings of a TOML file and writes its
// log to w. It returns a *SettingsError if the settings are invalid.
func StartBalancer(settingsFile string, w io.Writer) (Process, error) {
	s, err := settings.LoadBalancer(settingsFile)
	if err != nil {
		return nil, &SettingsError{err}
	}
	logger, err := newLogger(s.GetCommon(), w)
	if err != nil {
		return nil, err
	}
	b, err := daemon.StartBalancer(s, logger, route.Candidates)
	if err != nil {
		return nil, err
	}
	return b, nil
}

// StartAgent starts the agent of a target with the settings of a TOML file and
// writes its log to w. It returns a *SettingsError if the settings are invalid.
func StartAgent(settingsFile string, w io.Writer) (Process, error) {
	s, err := settings.LoadAgent(settingsFile)
	if err != nil {
		return nil, &SettingsError{err}
	}
	logger, err := newLogger(s.GetCommon(), w)
	if err != nil {
		return nil, err
	}
	a, err := daemon.StartAgent(s, logger, daemon.AgentOptions{})
	if err != nil {
		return nil, err
	}
	return a, nil
}

func newLogger(common *schema.CommonSettings, w io.Writer) (*telemetry.Logger, error) {
	logger, err := telemetry.NewLogger(w, common.GetLog())
	if err != nil {
		return nil, &SettingsError{err}
	}
	return logger, nil
}
