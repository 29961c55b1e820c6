// Package peridotstall runs the roles of the load balancer inside another
// program. The command peridotstall uses it too; the package caller is for
// programs that send requests.
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
	// Ready is closed when the process has a confirmed configuration and serves.
	Ready() <-chan struct{}
	// Ended receives the error with which the process ended by itself.
	Ended() <-chan error
	// Stop ends the process gracefully, or at once when the context ends. It
	// returns how many flows and requests were cut off.
	Stop(ctx context.Context, reason string) (cut int)
}

// SettingsError reports settings that are wrong. Nothing was started.
type SettingsError struct {
	// Err names the file, the key, the value and what is allowed.
	Err error
}

// Error implements error.
func (e *SettingsError) Error() string { return e.Err.Error() }

// Unwrap returns the faults of the settings.
func (e *SettingsError) Unwrap() error { return e.Err }

// StartBalancer starts a balancer from a settings file (TOML) and logs to w.
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

// StartAgent starts the agent of a target from a settings file (TOML) and logs to w.
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
