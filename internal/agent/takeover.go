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

// HandOver prepares an upgrade of the agent process: it refuses new work, waits for requests to finish, and gives all flows
// to the successor, which binds the same local ports, so that the backend server
// sees no change. It closes all sockets; afterwards the agent serves nothing. When the
// context ends first, the agent goes on as before.
func (a *Agent) HandOver(ctx context.Context) (*rpcapi.Takeover, error) {
	a.SetDraining(true)
	if err := a.waitRequests(ctx); err != nil {
		a.SetDraining(false)
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows == nil {
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
				Return:   a.returns.get(placement.Key(s.Key)),
			})
		}
	}
	a.closeAll()
	return state, nil
}

// waitRequests waits until no request is unfinished.
func (a *Agent) waitRequests(ctx context.Context) error {
	ticker := time.NewTicker(stopPoll)
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

// TakeOver sets what the agent takes over from its predecessor with the first
// configuration; call it before Run.
func (a *Agent) TakeOver(state *rpcapi.Takeover) {
	a.predecessor = state
}

// importState binds the sockets of the predecessor and owns its flows. The lock
// is held.
func (a *Agent) importState(now time.Time, state *rpcapi.Takeover) {
	var records []flow.Record
	for _, f := range state.Flows {
		b, err := dialBackend(a.options.Settings.GetBackendUdp(), f.Local)
		if err != nil {
			a.lost(f.Record.Key.Service, err)
			continue
		}
		b.setReturn(f.Return)
		a.backends[f.Record.Key] = b
		records = append(records, f.Record)
		go b.serve(func(data []byte) { a.answerFlow(f.Record.Key, b, data) })
	}
	left, actions := a.flows.Import(now, records)
	a.runFlow(actions)
	for _, r := range left {
		a.lost(r.Key.Service, errors.New("no free connection"))
		a.closeBackend(r.Key)
	}
	a.importSessions(now, state)
}

func (a *Agent) importSessions(now time.Time, state *rpcapi.Takeover) {
	left := a.offers.Import(now, state.Offers)
	for _, s := range left {
		a.lost(s.Key.Service, errors.New("no free connection"))
	}
	keys := map[uint64]offer.Key{}
	for _, s := range state.Offers.Sessions {
		keys[s.Sequence] = s.Key
	}
	for _, s := range state.Sessions {
		b, err := dialBackend(a.options.Settings.GetBackendUdp(), s.Local)
		if err != nil {
			a.lost(keys[s.Sequence].Service, err)
			a.runOffer(a.offers.SessionEnded(now, s.Sequence))
			continue
		}
		a.returns.put(now, placement.Key(keys[s.Sequence]), s.Return)
		a.sessions[s.Sequence] = b
		go b.serve(func(data []byte) { a.sessionOutput(s.Sequence, b, data) })
	}
}
