package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/peridotstall/peridotstall/internal/control"
	"github.com/peridotstall/peridotstall/internal/platform"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// monitoredPlatform adapts a platform client to control.Platform. It logs when the
// configuration service becomes unreachable and when it is reachable again.
type monitoredPlatform struct {
	*platform.Client
	process *process

	mu        sync.Mutex
	downSince time.Time
}

func (p *process) monitorPlatform(client *platform.Client) control.Platform {
	return &monitoredPlatform{Client: client, process: p}
}

// Index implements control.Platform.
func (m *monitoredPlatform) Index(ctx context.Context, after uint64, wait time.Duration) (*schema.Index, error) {
	index, newer, err := m.Client.Index(ctx, after, wait)
	m.recordResult(ctx, err)
	if !newer {
		return nil, err
	}
	return index, err
}

// Hosts implements control.Platform.
func (m *monitoredPlatform) Hosts(ctx context.Context, after uint64, wait time.Duration) (*schema.HostList, error) {
	list, newer, err := m.Client.Hosts(ctx, after, wait)
	m.recordResult(ctx, err)
	if !newer {
		return nil, err
	}
	return list, err
}

// recordResult logs the first failed call of an outage and the first success after
// it. It ignores calls that were cancelled because the process stops.
func (m *monitoredPlatform) recordResult(ctx context.Context, err error) {
	if ctx.Err() == context.Canceled {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	url := m.process.settings.GetConfigUrl()
	switch {
	case err != nil && m.downSince.IsZero():
		m.downSince = time.Now()
		m.process.logger.Log(telemetry.ConfigServiceUnreachable, "url", url, "error", err)
	case err == nil && !m.downSince.IsZero():
		m.process.logger.Log(telemetry.ConfigServiceReachable, "url", url, "outage", time.Since(m.downSince))
		m.downSince = time.Time{}
	}
}
