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

// sabotage breaks one rule, to show that the check for it can fail.
type sabotage int

const (
	none           sabotage = iota
	ignoreTokens            // any agent runs any complete request fragment
	claimNotRun             // unknown outcomes are reported as "not run"
	mixUpAnswers            // answers go to another request in progress
	shortenAnswers          // answers lose their last byte
	freeOpenings            // openings are answered without crossing the link
)

// scenario describes a run of the world; the same one gives the same run.
type scenario struct {
	seed                uint64
	agents, slots, room int
	calls               int
	minBody, maxBody    int
	answerWords         int // longest answer, in words of 8 bytes
	loss, duplicate     float64
	delay               func(w *world, target uint32) time.Duration // one way
	service             func(w *world) time.Duration
	cancel, trouble     float64 // share of calls that are cancelled; troubles a second
	interval, deadline  time.Duration
	sabotage            sabotage
}

type agentProcess struct {
	machine *offer.Machine
	paused  bool
	held    []func()
}

type call struct {
	body    []byte
	started time.Time
	ended   time.Time
	result  *request.Finished
}

// world joins one caller and several agents through a link in memory, on a
// virtual clock.
type world struct {
	scenario
	now          time.Time
	rng          *rand.Rand
	queue        wakeup.Queue
	events       map[uint64]func()
	caller       *request.Machine
	agents       []*agentProcess
	incarnations []uint64 // by target
	calls        map[uint64]*call
	ids          []uint64
	runs         map[uint64]int
	faults       []string
	balance      int // packets of the caller, for the rotation of openings
}

func newWorld(s scenario) *world {
	w := &world{
		scenario: s,
		now:      epoch,
		rng:      rand.New(rand.NewPCG(s.seed, 1)),
		events:   make(map[uint64]func()),
		caller:   request.New(3, rand.New(rand.NewPCG(s.seed, 2))),
		calls:    make(map[uint64]*call),
		runs:     make(map[uint64]int),
	}
	for target := range s.agents {
		w.agents = append(w.agents, &agentProcess{})
		w.incarnations = append(w.incarnations, 0)
		w.boot(uint32(target + 1))
	}
	return w
}

// boot starts an agent process with a new incarnation and empty memory.
func (w *world) boot(target uint32) {
	settings := offer.Settings{Target: target, Incarnation: w.rng.Uint64()}
	w.incarnations[target-1] = settings.Incarnation
	w.agents[target-1].machine = offer.New(settings, newFakeAdmission(w.slots, w.room, 10))
}

func (w *world) after(d time.Duration, f func()) {
	id := uint64(len(w.events))
	w.events[id] = f
	w.queue.Set(id, w.now.Add(d))
}

// run starts the calls and lets the clock run until nothing is left to happen.
func (w *world) run() *world {
	for i := range w.scenario.calls {
		w.after(time.Duration(i)*w.interval, w.startCall)
	}
	length := time.Duration(w.scenario.calls)*w.interval + w.deadline
	if w.trouble > 0 {
		for at := time.Duration(0); at < length; at += time.Duration(float64(time.Second) / w.trouble) {
			w.after(at, w.cause)
		}
	}
	end := w.now.Add(length + 5*time.Second)
	for steps := 0; w.advance(end); steps++ {
		if steps > 2_000_000 {
			panic("the clock does not advance")
		}
	}
	return w
}

func (w *world) advance(end time.Time) bool {
	next := w.queue.Next()
	wakes := []time.Time{w.caller.NextWake()}
	for _, a := range w.agents {
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
	if next.After(w.now) {
		w.now = next
	}
	for _, id := range w.queue.Due(w.now) {
		w.events[id]()
		w.events[id] = nil
	}
	w.fromCaller(w.caller.Tick(w.now))
	for i, a := range w.agents {
		if !a.paused {
			w.fromAgent(uint32(i+1), a.machine.Tick(w.now))
		}
	}
	return true
}

func (w *world) startCall() {
	body := make([]byte, w.minBody+w.rng.IntN(w.maxBody-w.minBody+1))
	for i := range body {
		body[i] = byte(w.rng.Uint32())
	}
	id, actions := w.caller.Start(w.now, request.Call{Body: body, Deadline: w.now.Add(w.deadline)})
	w.calls[id] = &call{body: body, started: w.now}
	w.ids = append(w.ids, id)
	w.fromCaller(actions)
	if w.rng.Float64() < w.cancel {
		w.after(time.Duration(w.rng.Int64N(int64(w.deadline))), func() {
			w.fromCaller(w.caller.Cancel(w.now, id))
		})
	}
}

// cause restarts, pauses or drains an agent.
func (w *world) cause() {
	target := uint32(w.rng.IntN(len(w.agents)) + 1)
	a := w.agents[target-1]
	switch w.rng.IntN(4) {
	case 0:
		w.boot(target)
	case 1:
		w.fromAgent(target, a.machine.SetDraining(w.now, w.rng.IntN(2) == 0))
	default:
		a.paused = true
		w.after(time.Duration(w.rng.Int64N(int64(6*time.Second))), func() { w.resume(target) })
	}
}

func (w *world) resume(target uint32) {
	a := w.agents[target-1]
	a.paused = false
	w.fromAgent(target, a.machine.ClockJump(w.now))
	held := a.held
	a.held = nil
	for _, deliver := range held {
		deliver()
	}
}

// carry loses, duplicates and delays a packet.
func (w *world) carry(target uint32, deliver func()) {
	copies := 1
	if w.rng.Float64() < w.duplicate {
		copies++
	}
	for range copies {
		if w.rng.Float64() < w.loss {
			continue
		}
		w.after(w.delay(w, target), deliver)
	}
}

func (w *world) fromCaller(actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.Send:
			w.route(w.encode(a.Packet))
		case request.Finished:
			c := w.calls[a.ID]
			if c.result != nil {
				w.faults = append(w.faults, fmt.Sprintf("request %x ended twice", a.ID))
			}
			c.result = &a
			c.ended = w.now
		}
	}
}

// encode passes a packet through the codec, so that the ends share no memory
// and the size limits hold.
func (w *world) encode(p *schema.CallerPacket) []byte {
	data, err := wire.EncodeCaller(p)
	if err != nil {
		panic(err)
	}
	return data
}

// route is the balancer: openings go to a target that was not tried, packets
// with a token to its target.
func (w *world) route(data []byte) {
	p, _ := wire.DecodeCaller(data)
	target := p.Token.GetTarget()
	if target == 0 {
		w.balance++
		for i := range w.agents {
			candidate := uint32((w.balance+i)%len(w.agents) + 1)
			if !slices.Contains(p.GetOpen().GetTried(), candidate) {
				target = candidate
			}
		}
	}
	if target == 0 {
		w.toCaller(1, &schema.CallerPacket{RequestId: p.RequestId, Body: &schema.CallerPacket_Refusal{
			Refusal: &schema.Refusal{Kind: schema.ErrorKind_REFUSED_NO_TARGET},
		}})
		return
	}
	if w.sabotage == ignoreTokens && p.GetRequest() != nil {
		target = uint32(w.rng.IntN(len(w.agents)) + 1)
	}
	if w.sabotage == freeOpenings && p.GetOpen() != nil {
		w.deliver(target, data)
		return
	}
	w.carry(target, func() { w.deliver(target, data) })
}

func (w *world) deliver(target uint32, data []byte) {
	a := w.agents[target-1]
	if a.paused {
		a.held = append(a.held, func() { w.deliver(target, data) })
		return
	}
	p, _ := wire.DecodeCaller(data)
	if w.sabotage == ignoreTokens && p.GetRequest().GetCount() == 1 {
		w.backend(target, offer.StartRequest{RequestID: p.RequestId, Sequence: 1 << 40})
	}
	w.fromAgent(target, a.machine.Handle(w.now, visitor, shop, p))
}

func (w *world) fromAgent(target uint32, actions []offer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case offer.Send:
			w.toCaller(target, a.Packet)
		case offer.StartRequest:
			w.backend(target, a)
		}
	}
}

// backend runs a request. A restarted agent does not hear of its end.
func (w *world) backend(target uint32, start offer.StartRequest) {
	w.runs[start.RequestID]++
	if want := w.calls[start.RequestID].body; w.sabotage != ignoreTokens && !bytes.Equal(start.Body, want) {
		w.faults = append(w.faults, fmt.Sprintf("request %x ran with another body", start.RequestID))
	}
	machine := w.agents[target-1].machine
	response := offer.Response{Status: 200, Body: w.answerTo(start.RequestID)}
	w.after(w.service(w), func() {
		if w.agents[target-1].machine == machine {
			w.fromAgent(target, machine.BackendDone(w.now, start.Sequence, response))
		}
	})
}

// answerTo returns the answer that belongs to a request.
func (w *world) answerTo(id uint64) []byte {
	return bytes.Repeat(binary.BigEndian.AppendUint64(nil, id), int(id%uint64(w.answerWords)))
}

func (w *world) toCaller(target uint32, p *schema.CallerPacket) {
	data := w.tamper(w.encode(p))
	deliver := func() {
		p, _ := wire.DecodeCaller(data)
		w.fromCaller(w.caller.Receive(w.now, p))
	}
	if w.sabotage == freeOpenings && p.GetOffer() != nil {
		deliver()
		return
	}
	w.carry(target, deliver)
}

func (w *world) tamper(data []byte) []byte {
	p, _ := wire.DecodeCaller(data)
	outcome, answer := p.GetOutcome(), p.GetAnswer()
	switch {
	case w.sabotage == claimNotRun && outcome != nil && errkind.Lookup(outcome.Kind).Ran != errkind.RanNo:
		outcome.Kind = schema.ErrorKind_TOO_LARGE
	case w.sabotage == mixUpAnswers && answer != nil && len(w.ids) > 1:
		answer.Data = bytes.Repeat([]byte{1}, len(answer.Data))
	case w.sabotage == shortenAnswers && answer != nil && answer.Index == answer.Count-1 && len(answer.Data) > 1:
		answer.Data = answer.Data[:len(answer.Data)-1]
	}
	return w.encode(p)
}

// violations checks the results of all calls.
func (w *world) violations() []string {
	out := slices.Clone(w.faults)
	for _, id := range w.ids {
		c := w.calls[id]
		switch {
		case c.result == nil:
			out = append(out, fmt.Sprintf("request %x never ended", id))
		case c.ended.After(c.started.Add(w.deadline)):
			out = append(out, fmt.Sprintf("request %x ended after its deadline", id))
		case c.result.Response != nil && !bytes.Equal(c.result.Response.Body, w.answerTo(id)):
			out = append(out, fmt.Sprintf("request %x got another answer", id))
		case c.result.Response != nil && w.runs[id] == 0:
			out = append(out, fmt.Sprintf("request %x got an answer without running", id))
		case c.result.Err != nil && c.result.Err.NotRun() && w.runs[id] > 0:
			out = append(out, fmt.Sprintf("request %x ran but ended as %v", id, c.result.Err))
		}
		if w.runs[id] > 1 {
			out = append(out, fmt.Sprintf("request %x ran %d times", id, w.runs[id]))
		}
	}
	return out
}
