package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/rpcapi"
)

// HandOver prepares the takeover by a successor process. It refuses new work,
// waits until all requests have finished, closes all sockets and returns the
// state of all flows. The successor binds the same local ports, so that the
// backend server sees no change. The agent serves nothing afterwards. If ctx ends
// before the requests have finished, or the agent has no configuration yet,
// HandOver returns an error and the agent accepts new work again.
func (a *Agent) HandOver(ctx context.Context) (*rpcapi.Takeover, error) {
	a.SetDraining(true)
	if err := a.waitForRequests(ctx); err != nil {
		a.SetDraining(false)
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows == nil {
		a.draining = false
		return nil, errors.New("the agent has no configuration yet")
	}
	now := time.Now()
	state := &rpcapi.Takeover{Target: a.options.Settings.GetTarget(), Offers: a.offers.Export(now)}
	for _, r := range a.flows.Export(now) {
		if b := a.backends[r.Key]; b != nil {
			state.Flows = append(state.Flows, rpcapi.FlowState{Record: r, Local: b.local(), Return: b.returnAddress()})
		}
	}
	for _, s := range state.Offers.Sessions {
		if b := a.sessions[s.Sequence]; b != nil {
			state.Sessions = append(state.Sessions, rpcapi.SessionState{
				Sequence: s.Sequence,
				Local:    b.local(),
				Return:   a.returnPaths.get(placement.Key(s.Key)),
			})
		}
	}
	a.closeAll()
	return state, nil
}

// waitForRequests waits until no request is unfinished or ctx ends.
func (a *Agent) waitForRequests(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for a.remaining().Requests > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d requests are unfinished", a.remaining().Requests)
		case <-ticker.C:
		}
	}
	return nil
}

// SetPredecessor sets the state of the predecessor, which the agent imports with its
// first configuration. Call it before Run.
func (a *Agent) SetPredecessor(state *rpcapi.Takeover) {
	a.predecessor = state
}

// importState binds the local ports of the predecessor and takes ownership of its
// flows. The caller must hold a.mu.
func (a *Agent) importState(now time.Time, state *rpcapi.Takeover) {
	var records []flow.Record
	for _, f := range state.Flows {
		b, err := dialBackend(a.options.Settings.GetBackendUdp(), f.Local)
		if err != nil {
			a.recordLostFlow(f.Record.Key.Service, err)
			continue
		}
		b.setReturnAddress(f.Return)
		a.backends[f.Record.Key] = b
		records = append(records, f.Record)
		go b.serve(func(data []byte) { a.forwardResponse(f.Record.Key, b, data) })
	}
	refused, actions := a.flows.Import(now, records)
	a.runFlow(actions)
	for _, r := range refused {
		a.recordLostFlow(r.Key.Service, errors.New("no free connection"))
		a.closeBackend(r.Key)
	}
	a.importSessions(now, state)
}

func (a *Agent) importSessions(now time.Time, state *rpcapi.Takeover) {
	refused := a.offers.Import(now, state.Offers)
	for _, s := range refused {
		a.recordLostFlow(s.Key.Service, errors.New("no free connection"))
	}
	keys := map[uint64]offer.Key{}
	for _, s := range state.Offers.Sessions {
		keys[s.Sequence] = s.Key
	}
	for _, s := range state.Sessions {
		b, err := dialBackend(a.options.Settings.GetBackendUdp(), s.Local)
		if err != nil {
			a.recordLostFlow(keys[s.Sequence].Service, err)
			a.runOffer(a.offers.SessionEnded(now, s.Sequence))
			continue
		}
		a.returnPaths.set(now, placement.Key(keys[s.Sequence]), s.Return)
		a.sessions[s.Sequence] = b
		go b.serve(func(data []byte) { a.handleSessionOutput(s.Sequence, b, data) })
	}
}
