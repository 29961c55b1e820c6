package balancer

import (
	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/rpcapi"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Explain returns the target to which the balancer sends packets of a flow, and
// the reason. It returns an error before the first configuration and for an
// unknown service address.
func (b *Balancer) Explain(q rpcapi.FlowQuery) (rpcapi.Explanation, error) {
	routes := b.routes.Load()
	if routes == nil {
		return rpcapi.Explanation{}, errors.New("no configuration has been received yet")
	}
	service, ok := routes.Snapshot().ServiceByAddress(q.Service)
	if !ok {
		return rpcapi.Explanation{}, errors.Errorf("no service has the address %s", q.Service)
	}
	key := placement.Key{Service: service.GetId(), Caller: q.Caller}
	explanation := rpcapi.Explanation{
		Process:   b.options.Settings.GetCommon().GetHost(),
		Revision:  routes.Snapshot().Revision(),
		ServiceID: service.GetId(),
		Service:   service.GetName(),
		Hash:      routes.Hash(key),
		Settled:   true,
	}
	for _, a := range routes.Candidates(key) {
		explanation.Candidates = append(explanation.Candidates, rpcapi.Candidate{
			Target: a.Target, Host: a.Host, Usable: routes.Usable(a.Target),
		})
	}
	chosen, kind := routes.Plain(key)
	explanation.Chosen = chosen.Target
	explanation.Reason = reason(explanation, service.GetMode(), kind)
	return explanation, nil
}

func reason(e rpcapi.Explanation, mode schema.Mode, kind schema.ErrorKind) string {
	switch {
	case kind != schema.ErrorKind_ERROR_KIND_NONE:
		return "the service has no targets"
	case mode == schema.Mode_REQUEST:
		return "requests: an opening goes to a candidate by request ID, all else to the target of its token"
	case e.Candidates[0].Target == e.Chosen && e.Candidates[0].Usable:
		return "first candidate"
	case e.Candidates[0].Target == e.Chosen:
		return "first candidate, since none looks usable"
	default:
		return "first usable candidate; earlier ones are leaving or failed"
	}
}

// Treatment returns nil, because a balancer admits no work.
func (b *Balancer) Treatment() []rpcapi.Treatment {
	return nil
}

// Status returns the current status of the balancer.
func (b *Balancer) Status() rpcapi.Status {
	common := b.options.Settings.GetCommon()
	status := rpcapi.Status{
		Role:         "balancer",
		Host:         common.GetHost(),
		Zone:         common.GetZone(),
		ControlBytes: b.options.Metrics.ControlBytesOut.Value(),
	}
	if routes := b.routes.Load(); routes != nil {
		status.Revision = routes.Snapshot().Revision()
	}
	return status
}
