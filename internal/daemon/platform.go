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

// watched is a platform client in the form that control needs. It logs when the
// configuration service cannot be reached and when it can be reached again.
type watched struct {
	*platform.Client
	process *process

	mu    sync.Mutex
	since time.Time
}

func (p *process) watch(client *platform.Client) control.Platform {
	return &watched{Client: client, process: p}
}

// Index implements control.Platform.
func (w *watched) Index(ctx context.Context, after uint64, wait time.Duration) (*schema.Index, error) {
	index, newer, err := w.Client.Index(ctx, after, wait)
	w.note(ctx, err)
	if !newer {
		return nil, err
	}
	return index, err
}

// Hosts implements control.Platform.
func (w *watched) Hosts(ctx context.Context, after uint64, wait time.Duration) (*schema.HostList, error) {
	list, newer, err := w.Client.Hosts(ctx, after, wait)
	w.note(ctx, err)
	if !newer {
		return nil, err
	}
	return list, err
}

// note logs the first failure and the first success after it. A call that ended
// because the process stops says nothing.
func (w *watched) note(ctx context.Context, err error) {
	if ctx.Err() == context.Canceled {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	url := w.process.settings.GetConfigUrl()
	switch {
	case err != nil && w.since.IsZero():
		w.since = time.Now()
		w.process.logger.Log(telemetry.ConfigServiceUnreachable, "url", url, "error", err)
	case err == nil && !w.since.IsZero():
		w.process.logger.Log(telemetry.ConfigServiceReachable, "url", url, "outage", time.Since(w.since))
		w.since = time.Time{}
	}
}
