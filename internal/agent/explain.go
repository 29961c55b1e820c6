package agent

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/rpcapi"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// maxRefusalEntries is the number of refusals kept for explanations.
const maxRefusalEntries = 256

// refusals is a ring buffer of the latest refusals.
type refusals struct {
	entries []refusalEntry
	next    int
}

type refusalEntry struct {
	key placement.Key
	rpcapi.Refusal
}

func (r *refusals) add(now time.Time, key placement.Key, kind schema.ErrorKind, detail string) {
	e := refusalEntry{key: key, Refusal: rpcapi.Refusal{At: now, Kind: kind.String(), Detail: detail}}
	if len(r.entries) < maxRefusalEntries {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % maxRefusalEntries
}

// forFlow returns the refusals of a flow, oldest first.
func (r *refusals) forFlow(key placement.Key) []rpcapi.Refusal {
	var list []rpcapi.Refusal
	for _, e := range r.entries {
		if e.key == key {
			list = append(list, e.Refusal)
		}
	}
	slices.SortFunc(list, func(a, b rpcapi.Refusal) int { return a.At.Compare(b.At) })
	return list
}

// Explain returns the state of a flow at this agent and the rule that applies to
// its next packet. It returns an error before the first configuration and for an
// unknown service address.
func (a *Agent) Explain(q rpcapi.FlowQuery) (rpcapi.Explanation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.view == nil {
		return rpcapi.Explanation{}, errors.New("no configuration has been received yet")
	}
	service, ok := a.view.snapshot.ServiceByAddress(q.Service)
	if !ok {
		return rpcapi.Explanation{}, errors.Errorf("no service has the address %s", q.Service)
	}
	key := placement.Key{Service: service.GetId(), Caller: q.Caller}
	state := a.flows.Explain(time.Now(), key)
	return rpcapi.Explanation{
		Process:    a.options.Settings.GetCommon().GetHost(),
		Revision:   a.view.snapshot.Revision(),
		ServiceID:  service.GetId(),
		Service:    service.GetName(),
		Hash:       state.Hash,
		Candidates: a.candidates(state.Candidates),
		Owned:      state.Owned,
		Directory:  state.Directory,
		Settled:    state.Settled,
		Reason:     reason(state, a.options.Settings.GetTarget()),
		Refusals:   a.refusals.forFlow(key),
	}, nil
}

func (a *Agent) candidates(ids []uint32) []rpcapi.Candidate {
	var list []rpcapi.Candidate
	for _, id := range ids {
		p, _ := a.view.peer(id)
		list = append(list, rpcapi.Candidate{Target: id, Host: p.host, Usable: a.targetUsable(id)})
	}
	return list
}

// reason returns the ownership rule that applies to a packet of the flow now.
func reason(e flow.Explanation, ownTarget uint32) string {
	position := slices.Index(e.Candidates, ownTarget)
	switch {
	case e.Owned:
		return "owned here: deliver"
	case e.Directory != 0:
		return "known in the directory: forward to the owner"
	case e.Waiting:
		return "queries in progress: buffer"
	case position < 0:
		return "no candidate: forward to the first usable candidate"
	case position > 0:
		return "later candidate: ask the earlier ones, then open"
	case !e.Settled:
		return "first candidate, unsettled: ask the others, then open"
	default:
		return "first candidate, settled: open"
	}
}

// Treatment returns the admission figures of each member and class at this agent.
func (a *Agent) Treatment() []rpcapi.Treatment {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admission == nil {
		return nil
	}
	var list []rpcapi.Treatment
	for _, s := range a.admission.Stats() {
		weight := uint32(0)
		if m, ok := a.view.snapshot.Member(s.Member); ok {
			weight = m.GetWeight()
		}
		refused := map[string]uint64{}
		for kind, n := range s.Refused {
			refused[kind.String()] = n
		}
		list = append(list, rpcapi.Treatment{
			Host:      a.options.Settings.GetCommon().GetHost(),
			Target:    a.options.Settings.GetTarget(),
			Member:    s.Member,
			Weight:    weight,
			Class:     s.Class,
			Offered:   s.Offered,
			Admitted:  s.Admitted,
			Completed: s.Completed,
			Refused:   refused,
			Flows:     s.Flows,
			SlotTime:  s.SlotTime,
			WaitP50:   s.Wait.P50,
			WaitP99:   s.Wait.P99,
			RunP50:    s.Service.P50,
			RunP99:    s.Service.P99,
		})
	}
	return list
}

// Status returns the current status of the agent.
func (a *Agent) Status() rpcapi.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	common := a.options.Settings.GetCommon()
	status := rpcapi.Status{
		Role:         "agent",
		Host:         common.GetHost(),
		Zone:         common.GetZone(),
		ControlBytes: a.options.Metrics.ControlBytesOut.Value(),
	}
	if a.view == nil {
		return status
	}
	f, o := a.flows.Stats(), a.offers.Stats()
	status.Revision = a.view.snapshot.Revision()
	status.Flows = int64(f.Flows + o.Sessions)
	status.Requests = int64(o.Running)
	status.Slots = int(a.view.target.GetSlots())
	status.DirectoryEntries = int64(f.Registered + f.Promised)
	for _, s := range a.admission.Stats() {
		status.Queued += int64(s.Queued)
	}
	return status
}
