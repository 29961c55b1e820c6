package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/admission"
	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// agent drives the decision packages of one target.
type agent struct {
	fleet     *fleet
	id        uint32
	beliefs   beliefs
	draining  bool
	snapshot  *config.Snapshot
	table     *placement.Table
	flows     *flow.Core
	offers    *offer.Machine
	admission *admission.Controller
	returns   map[placement.Key]netip.AddrPort
	// dropped counts packets by kind.
	dropped map[schema.ErrorKind]int
	// openedDraining counts flows that it opened while it was leaving.
	openedDraining int
	lastTick       time.Time
}

func newAgent(f *fleet, id uint32) *agent {
	w := f.world
	a := &agent{
		fleet:    f,
		id:       id,
		beliefs:  beliefs{},
		returns:  map[placement.Key]netip.AddrPort{},
		dropped:  map[schema.ErrorKind]int{},
		lastTick: w.now,
	}
	a.admission = admission.New(admission.Settings{
		Slots:       int(f.slots),
		Connections: 2000,
		Capacity:    100,
		Members:     map[string]uint32{"museum": 1, "auction": 1},
		Classes:     f.config.Policies[0].Classes,
		Warm:        true,
	}, rand.New(rand.NewPCG(uint64(id), 1)))
	a.flows = flow.New(w.now, id, f.limits(), plainAdmission{a})
	a.flows.SetBaseline(f.disabled["handover"])
	a.offers = offer.New(offer.Settings{Target: id, Incarnation: w.rng.Uint64()}, a.admission)
	return a
}

// limits returns the limits with the mechanisms that a script switched off.
func (f *fleet) limits() flow.Limits {
	limits := flow.DefaultLimits()
	if f.disabled["directory"] {
		limits.DirectoryEntries = 0
	}
	if f.disabled["window"] {
		limits.Window = 0
	}
	if f.disabled["clock"] {
		limits.PauseThreshold = time.Hour
	}
	if f.disabled["age"] {
		limits.MaxAge = time.Hour
	}
	if f.disabled["promise"] {
		limits.Promises = 0
	}
	return limits
}

func (a *agent) name() string { return fmt.Sprintf("a%d", a.id) }

func (a *agent) setConfig(s *config.Snapshot) {
	a.snapshot = s
	a.table = placement.FromSnapshot(s)
	a.setView()
}

func (a *agent) believe(host string, state schema.HostState) {
	a.beliefs[host] = state
	a.setView()
}

func (a *agent) drain(on bool) {
	a.draining = on
	a.runOffer(a.offers.SetDraining(a.fleet.world.now, on))
	a.setView()
}

func (a *agent) setView() {
	if a.table == nil {
		return
	}
	services := map[uint32]flow.Service{}
	for _, s := range a.snapshot.Services() {
		for _, t := range a.snapshot.Targets(s.Id) {
			if t.Id == a.id {
				services[s.Id] = flow.Service{
					ID:            s.Id,
					TimeoutAction: a.fleet.action,
					IdleTimeout:   10 * time.Minute,
				}
			}
		}
	}
	a.runFlow(a.flows.SetView(a.fleet.world.now, flow.View{
		Table:    a.table,
		Services: services,
		Usable: func(id uint32) bool {
			return id == a.id && !a.draining || id != a.id && a.beliefs.usable(hostName(id))
		},
		Dead: func(id uint32) bool { return id != a.id && a.beliefs.dead(hostName(id)) },
	}))
}

func (a *agent) tick() {
	now := a.fleet.world.now
	a.noticePause(now)
	a.runFlow(a.flows.Tick(now))
	a.runOffer(a.offers.Tick(now))
}

func (a *agent) noticePause(now time.Time) {
	gap := now.Sub(a.lastTick)
	a.lastTick = now
	if gap > 2*time.Second && !a.fleet.disabled["clock"] {
		a.runFlow(a.flows.Tick(now))
		a.runOffer(a.offers.ClockJump(now))
	}
}

func (a *agent) receive(age time.Duration, f *schema.Frame) {
	now := a.fleet.world.now
	a.noticePause(now)
	switch body := f.Body.(type) {
	case *schema.Frame_Packet:
		a.packet(now, age, f, body.Packet)
	case *schema.Frame_Ask:
		a.runFlow(a.flows.HandleAsk(now, body.Ask))
	case *schema.Frame_AskReply:
		a.runFlow(a.flows.HandleReply(now, body.AskReply))
	case *schema.Frame_Register:
		a.runFlow(a.flows.HandleRegister(now, body.Register))
	}
}

func (a *agent) packet(now time.Time, age time.Duration, f *schema.Frame, data []byte) {
	caller, err := wire.Caller(f.Key)
	if err != nil {
		return
	}
	key := placement.Key{Service: f.Key.Service, Caller: caller}
	back := netip.MustParseAddrPort(f.ReturnAddress)
	age += time.Duration(f.AgeMs) * time.Millisecond
	if key.Service == requestService {
		a.request(now, key, back, age, data)
		return
	}
	a.runFlow(a.flows.HandlePacket(now, flow.Packet{
		Key: key, Payload: data, Return: back, Age: age, Hops: int(f.Hops), Passed: f.Passed,
	}))
}

func (a *agent) request(now time.Time, key placement.Key, back netip.AddrPort, age time.Duration, data []byte) {
	p, err := wire.DecodeCaller(data)
	if err != nil {
		return
	}
	a.returns[key] = back
	peer := offer.Peer{Caller: key.Caller, Age: age}
	a.runOffer(a.offers.Handle(now, peer, offer.Service{ID: key.Service, Member: "museum"}, p))
}

func (a *agent) runFlow(actions []flow.Action) {
	w := a.fleet.world
	for _, action := range actions {
		switch v := action.(type) {
		case flow.Deliver:
			a.deliver(v)
		case flow.Forward:
			w.send(a.name(), agentAddress(v.Target), forwarded(v.Packet))
		case flow.SendAsk:
			w.send(a.name(), agentAddress(v.Target), &schema.Frame{Body: &schema.Frame_Ask{Ask: v.Ask}})
		case flow.SendReply:
			w.send(a.name(), agentAddress(v.Target), &schema.Frame{Body: &schema.Frame_AskReply{AskReply: v.Reply}})
		case flow.SendRegister:
			w.send(a.name(), agentAddress(v.Target), &schema.Frame{Body: &schema.Frame_Register{Register: v.Register}})
		case flow.Drop:
			a.dropped[v.Kind]++
		}
	}
}

func forwarded(p flow.Packet) *schema.Frame {
	return &schema.Frame{
		Key:           wire.Key(p.Key.Service, p.Key.Caller),
		Hops:          uint32(p.Hops),
		AgeMs:         uint32(p.Age.Milliseconds()),
		ReturnAddress: p.Return.String(),
		Passed:        p.Passed,
		Body:          &schema.Frame_Packet{Packet: p.Payload},
	}
}

// deliver lets the backend server echo the packet.
func (a *agent) deliver(d flow.Deliver) {
	if d.Opened && a.draining {
		a.openedDraining++
	}
	a.fleet.world.callers.delivered(a.id, d.Packet.Key, d.Opened)
	a.answer(d.Packet.Return, d.Packet.Key, d.Packet.Payload)
}

func (a *agent) answer(to netip.AddrPort, key placement.Key, data []byte) {
	a.fleet.world.send(a.name(), to, &schema.Frame{
		Key:  wire.Key(key.Service, key.Caller),
		Body: &schema.Frame_Answer{Answer: data},
	})
}

func (a *agent) runOffer(actions []offer.Action) {
	for _, action := range actions {
		switch v := action.(type) {
		case offer.Send:
			key := placement.Key(v.To)
			if data, err := wire.EncodeCaller(v.Packet); err == nil {
				a.answer(a.returns[key], key, data)
			}
		case offer.StartRequest:
			a.run(v)
		case offer.DeliverSession:
			a.runOffer(a.offers.SessionOutput(a.fleet.world.now, v.Sequence, v.Data))
		}
	}
}

// run lets the backend server work on a request for its service time. Work that
// was handed over goes on when the agent dies.
func (a *agent) run(r offer.StartRequest) {
	w := a.fleet.world
	w.callers.ran(a.id, r)
	w.after(w.callers.serviceTime(r.Class), func() {
		s := w.slots[a.name()]
		if s.dead || s.process != process(a) {
			return
		}
		done := func() {
			a.runOffer(a.offers.BackendDone(w.now, r.Sequence, offer.Response{Status: 200, Body: r.Body}))
		}
		if !s.paused {
			done()
		}
	})
}

// plainAdmission grants connections to plain flows.
type plainAdmission struct{ agent *agent }

func (p plainAdmission) OpenFlow(now time.Time, _ uint32) *errkind.Error {
	return p.agent.admission.OpenFlow(now, "museum", "")
}

func (p plainAdmission) CloseFlow(uint32) {
	p.agent.admission.CloseFlow("museum", "")
}
