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

// agent connects the decision packages of one target to the simulation.
type agent struct {
	fleet           *fleet
	id              uint32
	hosts           hostStates
	draining        bool
	snapshot        *config.Snapshot
	table           *placement.Table
	flows           *flow.Core
	offers          *offer.Machine
	admission       *admission.Controller
	returnAddresses map[placement.Key]netip.AddrPort
	// dropped counts dropped packets by error kind.
	dropped map[schema.ErrorKind]int
	// openedDraining counts the flows that opened while the agent was draining.
	openedDraining int
	lastTick       time.Time
}

func newAgent(f *fleet, id uint32) *agent {
	sim := f.sim
	a := &agent{
		fleet:           f,
		id:              id,
		hosts:           hostStates{},
		returnAddresses: map[placement.Key]netip.AddrPort{},
		dropped:         map[schema.ErrorKind]int{},
		lastTick:        sim.now,
	}
	a.admission = admission.New(admission.Settings{
		Slots:       int(f.targetSlots),
		Connections: 2000,
		Capacity:    100,
		Members:     map[string]uint32{"museum": 1, "auction": 1},
		Classes:     f.config.Policies[0].Classes,
		Warm:        true,
	}, rand.New(rand.NewPCG(uint64(id), 1)))
	a.flows = flow.New(sim.now, id, f.flowLimits(), plainAdmission{a})
	a.flows.SetBaseline(f.disabled["handover"])
	a.offers = offer.New(offer.Settings{Target: id, Incarnation: sim.rng.Uint64()}, a.admission)
	return a
}

// flowLimits returns the default limits without the mechanisms that the script
// disabled.
func (f *fleet) flowLimits() flow.Limits {
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
		limits.MaxOpeningAge = time.Hour
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
	a.updateView()
}

func (a *agent) setHostState(host string, state schema.HostState) {
	a.hosts[host] = state
	a.updateView()
}

func (a *agent) setDraining(on bool) {
	a.draining = on
	a.applyOffer(a.offers.SetDraining(a.fleet.sim.now, on))
	a.updateView()
}

func (a *agent) updateView() {
	if a.table == nil {
		return
	}
	services := map[uint32]flow.Service{}
	for _, s := range a.snapshot.Services() {
		for _, t := range a.snapshot.Targets(s.Id) {
			if t.Id == a.id {
				services[s.Id] = flow.Service{
					ID:            s.Id,
					TimeoutAction: a.fleet.timeoutAction,
					IdleTimeout:   10 * time.Minute,
				}
			}
		}
	}
	a.applyFlow(a.flows.SetView(a.fleet.sim.now, flow.View{
		Table:    a.table,
		Services: services,
		Usable: func(id uint32) bool {
			return id == a.id && !a.draining || id != a.id && a.hosts.usable(hostName(id))
		},
		Dead: func(id uint32) bool { return id != a.id && a.hosts.dead(hostName(id)) },
	}))
}

func (a *agent) tick() {
	now := a.fleet.sim.now
	a.handleClockJump(now)
	a.applyFlow(a.flows.Tick(now))
	a.applyOffer(a.offers.Tick(now))
}

// handleClockJump signals a clock jump to the packages if the last call was more than
// 2 s ago, as after a pause.
func (a *agent) handleClockJump(now time.Time) {
	gap := now.Sub(a.lastTick)
	a.lastTick = now
	if gap > 2*time.Second && !a.fleet.disabled["clock"] {
		a.applyFlow(a.flows.Tick(now))
		a.applyOffer(a.offers.ClockJump(now))
	}
}

func (a *agent) receive(age time.Duration, f *schema.Frame) {
	now := a.fleet.sim.now
	a.handleClockJump(now)
	switch body := f.Body.(type) {
	case *schema.Frame_Packet:
		a.handlePacket(now, age, f, body.Packet)
	case *schema.Frame_Ask:
		a.applyFlow(a.flows.HandleQuery(now, body.Ask))
	case *schema.Frame_AskReply:
		a.applyFlow(a.flows.HandleReply(now, body.AskReply))
	case *schema.Frame_Register:
		a.applyFlow(a.flows.HandleRegister(now, body.Register))
	}
}

func (a *agent) handlePacket(now time.Time, age time.Duration, f *schema.Frame, data []byte) {
	caller, err := wire.CallerAddr(f.Key)
	if err != nil {
		return
	}
	key := placement.Key{Service: f.Key.Service, Caller: caller}
	returnAddress := netip.MustParseAddrPort(f.ReturnAddress)
	age += time.Duration(f.AgeMs) * time.Millisecond
	if key.Service == requestService {
		a.handleRequest(now, key, returnAddress, age, data)
		return
	}
	a.applyFlow(a.flows.HandlePacket(now, flow.Packet{
		Key: key, Payload: data, Return: returnAddress, Age: age, Hops: int(f.Hops), RefusedBy: f.Passed,
	}))
}

func (a *agent) handleRequest(now time.Time, key placement.Key, returnAddress netip.AddrPort, age time.Duration, data []byte) {
	p, err := wire.DecodeCaller(data)
	if err != nil {
		return
	}
	a.returnAddresses[key] = returnAddress
	peer := offer.Peer{Caller: key.Caller, Age: age}
	a.applyOffer(a.offers.Handle(now, peer, offer.Service{ID: key.Service, Member: "museum"}, p))
}

func (a *agent) applyFlow(actions []flow.Action) {
	sim := a.fleet.sim
	for _, action := range actions {
		switch v := action.(type) {
		case flow.Deliver:
			a.deliver(v)
		case flow.Forward:
			sim.send(a.name(), agentAddress(v.Target), forwardFrame(v.Packet))
		case flow.SendQuery:
			sim.send(a.name(), agentAddress(v.Target), &schema.Frame{Body: &schema.Frame_Ask{Ask: v.Ask}})
		case flow.SendReply:
			sim.send(a.name(), agentAddress(v.Target), &schema.Frame{Body: &schema.Frame_AskReply{AskReply: v.Reply}})
		case flow.SendRegister:
			sim.send(a.name(), agentAddress(v.Target), &schema.Frame{Body: &schema.Frame_Register{Register: v.Register}})
		case flow.Drop:
			a.dropped[v.Kind]++
		}
	}
}

func forwardFrame(p flow.Packet) *schema.Frame {
	return &schema.Frame{
		Key:           wire.FlowKey(p.Key.Service, p.Key.Caller),
		Hops:          uint32(p.Hops),
		AgeMs:         uint32(p.Age.Milliseconds()),
		ReturnAddress: p.Return.String(),
		Passed:        p.RefusedBy,
		Body:          &schema.Frame_Packet{Packet: p.Payload},
	}
}

// deliver sends the packet back to the caller, as a backend server that echoes.
func (a *agent) deliver(delivery flow.Deliver) {
	if delivery.Opened && a.draining {
		a.openedDraining++
	}
	a.fleet.sim.callers.recordDelivery(a.id, delivery.Packet.Key, delivery.Opened)
	a.sendAnswer(delivery.Packet.Return, delivery.Packet.Key, delivery.Packet.Payload)
}

func (a *agent) sendAnswer(to netip.AddrPort, key placement.Key, data []byte) {
	a.fleet.sim.send(a.name(), to, &schema.Frame{
		Key:  wire.FlowKey(key.Service, key.Caller),
		Body: &schema.Frame_Answer{Answer: data},
	})
}

func (a *agent) applyOffer(actions []offer.Action) {
	for _, action := range actions {
		switch v := action.(type) {
		case offer.Send:
			key := placement.Key(v.To)
			if data, err := wire.EncodeCaller(v.Packet); err == nil {
				a.sendAnswer(a.returnAddresses[key], key, data)
			}
		case offer.StartRequest:
			a.runRequest(v)
		case offer.DeliverSession:
			a.applyOffer(a.offers.SessionOutput(a.fleet.sim.now, v.Sequence, v.Data))
		}
	}
}

// runRequest runs a request at the backend server for the service time of its class.
// A request that was dispatched still runs when the agent dies; its response is lost.
func (a *agent) runRequest(r offer.StartRequest) {
	sim := a.fleet.sim
	sim.callers.recordRun(a.id, r)
	sim.after(sim.callers.serviceTime(r.Class), func() {
		s := sim.processes[a.name()]
		if s.dead || s.process != process(a) {
			return
		}
		done := func() {
			a.applyOffer(a.offers.BackendDone(sim.now, r.Sequence, offer.Response{Status: 200, Body: r.Body}))
		}
		if !s.paused {
			done()
		}
	})
}

// plainAdmission admits plain flows.
type plainAdmission struct{ agent *agent }

func (p plainAdmission) OpenFlow(now time.Time, _ uint32) *errkind.Error {
	return p.agent.admission.OpenFlow(now, "museum", "")
}

func (p plainAdmission) CloseFlow(uint32) {
	p.agent.admission.CloseFlow("museum", "")
}
