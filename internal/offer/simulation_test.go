package offer_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/request"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wakeup"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// injectedFault violates one rule of the protocol, to show that the check for it
// can fail.
type injectedFault int

const (
	noFault         injectedFault = iota
	ignoreTokens                  // any agent runs any request of one fragment
	claimNotRun                   // unknown outcomes are reported as "not run"
	mixUpAnswers                  // answers are replaced by other content
	shortenAnswers                // answers lose their last byte
	instantOpenings               // openings are answered without crossing the link
)

// scenario configures a simulation. Equal scenarios give equal runs.
type scenario struct {
	seed                        uint64
	agents, slots, room         int
	calls                       int
	minBody, maxBody            int
	answerWords                 int // longest answer, in words of 8 bytes
	loss, duplicate             float64
	delay                       func(sim *simulation, target uint32) time.Duration // one way
	service                     func(sim *simulation) time.Duration
	cancelShare, disruptionRate float64 // share of calls that are cancelled; disruptions per second
	interval, deadline          time.Duration
	fault                       injectedFault
}

type agentProcess struct {
	machine  *offer.Machine
	paused   bool
	deferred []func()
}

type call struct {
	body    []byte
	started time.Time
	ended   time.Time
	result  *request.Finished
}

// simulation connects one caller and several agents through an in-memory link, on
// a virtual clock.
type simulation struct {
	scenario
	now           time.Time
	rng           *rand.Rand
	queue         wakeup.Queue
	callbacks     map[uint64]func()
	caller        *request.Machine
	agents        []*agentProcess
	incarnations  []uint64 // by target
	calls         map[uint64]*call
	ids           []uint64
	runs          map[uint64]int
	runViolations []string
	openings      int // packets without a token so far, for the round robin over targets
}

func newSimulation(s scenario) *simulation {
	sim := &simulation{
		scenario:  s,
		now:       epoch,
		rng:       rand.New(rand.NewPCG(s.seed, 1)),
		callbacks: make(map[uint64]func()),
		caller:    request.New(3, rand.New(rand.NewPCG(s.seed, 2))),
		calls:     make(map[uint64]*call),
		runs:      make(map[uint64]int),
	}
	for target := range s.agents {
		sim.agents = append(sim.agents, &agentProcess{})
		sim.incarnations = append(sim.incarnations, 0)
		sim.startAgent(uint32(target + 1))
	}
	return sim
}

// startAgent starts an agent process with a new incarnation and no state.
func (sim *simulation) startAgent(target uint32) {
	settings := offer.Settings{Target: target, Incarnation: sim.rng.Uint64()}
	sim.incarnations[target-1] = settings.Incarnation
	sim.agents[target-1].machine = offer.New(settings, newFakeAdmission(sim.slots, sim.room, 10))
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	id := uint64(len(sim.callbacks))
	sim.callbacks[id] = f
	sim.queue.Schedule(id, sim.now.Add(d))
}

// run starts the calls and advances the clock until no event is left.
func (sim *simulation) run() *simulation {
	for i := range sim.scenario.calls {
		sim.schedule(time.Duration(i)*sim.interval, sim.startCall)
	}
	length := time.Duration(sim.scenario.calls)*sim.interval + sim.deadline
	if sim.disruptionRate > 0 {
		for at := time.Duration(0); at < length; at += time.Duration(float64(time.Second) / sim.disruptionRate) {
			sim.schedule(at, sim.disrupt)
		}
	}
	end := sim.now.Add(length + 5*time.Second)
	for steps := 0; sim.advance(end); steps++ {
		if steps > 2_000_000 {
			panic("the clock does not advance")
		}
	}
	return sim
}

func (sim *simulation) advance(end time.Time) bool {
	next := sim.queue.Next()
	wakes := []time.Time{sim.caller.NextWake()}
	for _, a := range sim.agents {
		if !a.paused {
			wakes = append(wakes, a.machine.NextWake())
		}
	}
	for _, at := range wakes {
		if next.IsZero() || !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	if next.IsZero() || next.After(end) {
		return false
	}
	if next.After(sim.now) {
		sim.now = next
	}
	for _, id := range sim.queue.PopDue(sim.now) {
		sim.callbacks[id]()
		sim.callbacks[id] = nil
	}
	sim.applyCallerActions(sim.caller.Tick(sim.now))
	for i, a := range sim.agents {
		if !a.paused {
			sim.applyAgentActions(uint32(i+1), a.machine.Tick(sim.now))
		}
	}
	return true
}

func (sim *simulation) startCall() {
	body := make([]byte, sim.minBody+sim.rng.IntN(sim.maxBody-sim.minBody+1))
	for i := range body {
		body[i] = byte(sim.rng.Uint32())
	}
	id, actions := sim.caller.Start(sim.now, request.Call{Body: body, Deadline: sim.now.Add(sim.deadline)})
	sim.calls[id] = &call{body: body, started: sim.now}
	sim.ids = append(sim.ids, id)
	sim.applyCallerActions(actions)
	if sim.rng.Float64() < sim.cancelShare {
		sim.schedule(time.Duration(sim.rng.Int64N(int64(sim.deadline))), func() {
			sim.applyCallerActions(sim.caller.Cancel(sim.now, id))
		})
	}
}

// disrupt restarts, pauses or drains an agent.
func (sim *simulation) disrupt() {
	target := uint32(sim.rng.IntN(len(sim.agents)) + 1)
	a := sim.agents[target-1]
	switch sim.rng.IntN(4) {
	case 0:
		sim.startAgent(target)
	case 1:
		sim.applyAgentActions(target, a.machine.SetDraining(sim.now, sim.rng.IntN(2) == 0))
	default:
		a.paused = true
		sim.schedule(time.Duration(sim.rng.Int64N(int64(6*time.Second))), func() { sim.resume(target) })
	}
}

func (sim *simulation) resume(target uint32) {
	a := sim.agents[target-1]
	a.paused = false
	sim.applyAgentActions(target, a.machine.ClockJump(sim.now))
	deferred := a.deferred
	a.deferred = nil
	for _, deliver := range deferred {
		deliver()
	}
}

// transmit delivers a packet after a delay; it may drop or duplicate the packet.
func (sim *simulation) transmit(target uint32, deliver func()) {
	copies := 1
	if sim.rng.Float64() < sim.duplicate {
		copies++
	}
	for range copies {
		if sim.rng.Float64() < sim.loss {
			continue
		}
		sim.schedule(sim.delay(sim, target), deliver)
	}
}

func (sim *simulation) applyCallerActions(actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.Send:
			sim.route(sim.encode(a.Packet))
		case request.Finished:
			c := sim.calls[a.ID]
			if c.result != nil {
				sim.runViolations = append(sim.runViolations, fmt.Sprintf("request %x ended twice", a.ID))
			}
			c.result = &a
			c.ended = sim.now
		}
	}
}

// encode passes a packet through the codec, so that caller and agents share no
// memory and the size limits apply.
func (sim *simulation) encode(p *schema.CallerPacket) []byte {
	data, err := wire.EncodeCaller(p)
	if err != nil {
		panic(err)
	}
	return data
}

// route acts as the balancer: it sends openings to a target that was not tried and
// packets with a token to the target of the token.
func (sim *simulation) route(data []byte) {
	p, _ := wire.DecodeCaller(data)
	target := p.Token.GetTarget()
	if target == 0 {
		sim.openings++
		for i := range sim.agents {
			candidate := uint32((sim.openings+i)%len(sim.agents) + 1)
			if !slices.Contains(p.GetOpen().GetTried(), candidate) {
				target = candidate
			}
		}
	}
	if target == 0 {
		sim.sendToCaller(1, &schema.CallerPacket{RequestId: p.RequestId, Body: &schema.CallerPacket_Refusal{
			Refusal: &schema.Refusal{Kind: schema.ErrorKind_REFUSED_NO_TARGET},
		}})
		return
	}
	if sim.fault == ignoreTokens && p.GetRequest() != nil {
		target = uint32(sim.rng.IntN(len(sim.agents)) + 1)
	}
	if sim.fault == instantOpenings && p.GetOpen() != nil {
		sim.deliver(target, data)
		return
	}
	sim.transmit(target, func() { sim.deliver(target, data) })
}

func (sim *simulation) deliver(target uint32, data []byte) {
	a := sim.agents[target-1]
	if a.paused {
		a.deferred = append(a.deferred, func() { sim.deliver(target, data) })
		return
	}
	p, _ := wire.DecodeCaller(data)
	if sim.fault == ignoreTokens && p.GetRequest().GetCount() == 1 {
		sim.runAtBackend(target, offer.StartRequest{RequestID: p.RequestId, Sequence: 1 << 40})
	}
	sim.applyAgentActions(target, a.machine.Handle(sim.now, testPeer, testService, p))
}

func (sim *simulation) applyAgentActions(target uint32, actions []offer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case offer.Send:
			sim.sendToCaller(target, a.Packet)
		case offer.StartRequest:
			sim.runAtBackend(target, a)
		}
	}
}

// runAtBackend runs a request. An agent that restarted meanwhile is not notified of
// its end.
func (sim *simulation) runAtBackend(target uint32, start offer.StartRequest) {
	sim.runs[start.RequestID]++
	if want := sim.calls[start.RequestID].body; sim.fault != ignoreTokens && !bytes.Equal(start.Body, want) {
		sim.runViolations = append(sim.runViolations, fmt.Sprintf("request %x ran with another body", start.RequestID))
	}
	machine := sim.agents[target-1].machine
	response := offer.Response{Status: 200, Body: sim.expectedAnswer(start.RequestID)}
	sim.schedule(sim.service(sim), func() {
		if sim.agents[target-1].machine == machine {
			sim.applyAgentActions(target, machine.BackendDone(sim.now, start.Sequence, response))
		}
	})
}

// expectedAnswer returns the answer of the simulated backend server to a request.
func (sim *simulation) expectedAnswer(id uint64) []byte {
	return bytes.Repeat(binary.BigEndian.AppendUint64(nil, id), int(id%uint64(sim.answerWords)))
}

func (sim *simulation) sendToCaller(target uint32, p *schema.CallerPacket) {
	data := sim.tamper(sim.encode(p))
	deliver := func() {
		p, _ := wire.DecodeCaller(data)
		sim.applyCallerActions(sim.caller.Receive(sim.now, p))
	}
	if sim.fault == instantOpenings && p.GetOffer() != nil {
		deliver()
		return
	}
	sim.transmit(target, deliver)
}

func (sim *simulation) tamper(data []byte) []byte {
	p, _ := wire.DecodeCaller(data)
	outcome, answer := p.GetOutcome(), p.GetAnswer()
	switch {
	case sim.fault == claimNotRun && outcome != nil && errkind.Lookup(outcome.Kind).Ran != errkind.RanNo:
		outcome.Kind = schema.ErrorKind_TOO_LARGE
	case sim.fault == mixUpAnswers && answer != nil && len(sim.ids) > 1:
		answer.Data = bytes.Repeat([]byte{1}, len(answer.Data))
	case sim.fault == shortenAnswers && answer != nil && answer.Index == answer.Count-1 && len(answer.Data) > 1:
		answer.Data = answer.Data[:len(answer.Data)-1]
	}
	return sim.encode(p)
}

// violations checks the results of all calls and returns the rules that were
// violated.
func (sim *simulation) violations() []string {
	out := slices.Clone(sim.runViolations)
	for _, id := range sim.ids {
		c := sim.calls[id]
		switch {
		case c.result == nil:
			out = append(out, fmt.Sprintf("request %x never ended", id))
		case c.ended.After(c.started.Add(sim.deadline)):
			out = append(out, fmt.Sprintf("request %x ended after its deadline", id))
		case c.result.Response != nil && !bytes.Equal(c.result.Response.Body, sim.expectedAnswer(id)):
			out = append(out, fmt.Sprintf("request %x got another answer", id))
		case c.result.Response != nil && sim.runs[id] == 0:
			out = append(out, fmt.Sprintf("request %x got an answer without running", id))
		case c.result.Err != nil && c.result.Err.NotRun() && sim.runs[id] > 0:
			out = append(out, fmt.Sprintf("request %x ran but ended as %v", id, c.result.Err))
		}
		if sim.runs[id] > 1 {
			out = append(out, fmt.Sprintf("request %x ran %d times", id, sim.runs[id]))
		}
	}
	return out
}
