package scenario

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/request"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// plainFlow is a flow of a caller without the caller package.
type plainFlow struct {
	key placement.Key
	// owners are the targets that delivered packets of the flow, in the order of
	// their first packet.
	owners []uint32
	// sent is the number of the last packet sent, answered the highest number in an
	// answer.
	sent, answered uint32
	// opens counts the openings of the flow by targets.
	opens int
}

// requestState is a request of the caller package and its result.
type requestState struct {
	class    string
	started  time.Time
	finished bool
	answered bool
	correct  bool
	err      *errkind.Error
	runs     int
}

// callers holds the flows, requests and sessions of all callers.
type callers struct {
	sim          *simulation
	flows        []*plainFlow
	byKey        map[placement.Key]*plainFlow
	machine      *request.Machine
	clientKey    placement.Key
	calls        map[uint64]*requestState
	byBody       map[string]*requestState
	serviceTimes map[string]time.Duration
	// sessions holds the sessions by ID, sessionOrder the IDs in order of opening.
	sessions     map[uint64]*sessionState
	sessionOrder []uint64
}

// sessionState is a session of the caller package, with the numbers of messages
// sent and received.
type sessionState struct {
	opened         bool
	sent, received int
	ended          *errkind.Error
	endedAt        time.Time
}

func newCallers(sim *simulation) *callers {
	return &callers{
		sim:       sim,
		byKey:     map[placement.Key]*plainFlow{},
		calls:     map[uint64]*requestState{},
		byBody:    map[string]*requestState{},
		sessions:  map[uint64]*sessionState{},
		clientKey: placement.Key{Service: requestService, Caller: callerAddress(60000)},
		serviceTimes: map[string]time.Duration{
			"bid": 10 * time.Millisecond, "payment": 10 * time.Millisecond, "upload": 50 * time.Millisecond,
		},
	}
}

func callerAddress(i int) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)})
	return netip.AddrPortFrom(addr, uint16(20000+i%40000))
}

func (c *callers) serviceTime(class string) time.Duration {
	return c.serviceTimes[class]
}

// openFlows creates n plain flows and sends the first packet of each, through the
// named balancer or through random ones.
func (c *callers) openFlows(n int, balancer string) {
	for range n {
		key := placement.Key{Service: plainService, Caller: callerAddress(len(c.flows))}
		f := &plainFlow{key: key}
		c.flows = append(c.flows, f)
		c.byKey[key] = f
		c.sendPlain(f, balancer)
	}
}

// sendAll sends a packet on every plain flow, through the named balancer or through
// random ones.
func (c *callers) sendAll(balancer string) {
	for _, f := range c.flows {
		c.sendPlain(f, balancer)
	}
}

func (c *callers) sendPlain(f *plainFlow, balancer string) {
	f.sent++
	var data [4]byte
	binary.BigEndian.PutUint32(data[:], f.sent)
	if balancer == "" {
		balancer = c.randomBalancer()
	}
	c.send(balancer, f.key, data[:])
}

// randomBalancer returns a random balancer that is not dead, as the fabric does, or
// an empty name.
func (c *callers) randomBalancer() string {
	var live []string
	for _, b := range c.sim.fleet.balancers {
		if !c.sim.processes[b.id].dead {
			live = append(live, b.id)
		}
	}
	if len(live) == 0 {
		return ""
	}
	return live[c.sim.rng.IntN(len(live))]
}

func (c *callers) send(balancer string, key placement.Key, data []byte) {
	sim := c.sim
	sent := sim.now
	sim.transmit("caller", balancer, func() { c.arriveAtBalancer(balancer, key, data, sent) })
}

// arriveAtBalancer delivers a packet to a balancer, at the first tick after the pause
// if the balancer is paused.
func (c *callers) arriveAtBalancer(name string, key placement.Key, data []byte, arrived time.Time) {
	s := c.sim.processes[name]
	if s == nil || s.dead {
		return
	}
	if s.paused {
		c.sim.after(tickInterval, func() { c.arriveAtBalancer(name, key, data, arrived) })
		return
	}
	s.process.(*balancer).forward(key, data, c.sim.now.Sub(arrived))
}

// recordDelivery records the target that delivered a packet of a plain flow.
func (c *callers) recordDelivery(target uint32, key placement.Key, opened bool) {
	f := c.byKey[key]
	if f == nil {
		return
	}
	if opened {
		f.opens++
	}
	if len(f.owners) == 0 || !slices.Contains(f.owners, target) {
		f.owners = append(f.owners, target)
	}
}

// deliverAnswer sends a packet from a balancer to a caller.
func (c *callers) deliverAnswer(from string, key placement.Key, data []byte) {
	data = slices.Clone(data)
	c.sim.transmit(from, "caller", func() {
		if key == c.clientKey {
			if p, err := wire.DecodeCaller(data); err == nil && c.machine != nil {
				c.apply(c.machine.Receive(c.sim.now, p))
			}
			return
		}
		if f := c.byKey[key]; f != nil && len(data) == 4 {
			f.answered = max(f.answered, binary.BigEndian.Uint32(data))
		}
	})
}

// openSessions starts to open n sessions of the caller package.
func (c *callers) openSessions(n int) {
	c.ensureMachine()
	for range n {
		id, actions := c.machine.OpenSession(c.sim.now, "bid", c.sim.now.Add(10*time.Second))
		c.sessions[id] = &sessionState{}
		c.sessionOrder = append(c.sessionOrder, id)
		c.apply(actions)
	}
}

// sendMessages sends one message on every open session.
func (c *callers) sendMessages() {
	for _, id := range c.sessionOrder {
		s := c.sessions[id]
		if !s.opened || s.ended != nil {
			continue
		}
		if actions, err := c.machine.SendMessage(id, []byte("price")); err == nil {
			s.sent++
			c.apply(actions)
		}
	}
}

func (c *callers) ensureMachine() {
	if c.machine == nil {
		c.machine = request.New(len(c.sim.fleet.balancers), rand.New(rand.NewPCG(7, c.sim.rng.Uint64())))
	}
}

// startRequests starts n requests of a class. Each body is unique, so that a run or
// response is matched to its request by the body.
func (c *callers) startRequests(n int, class string, deadline time.Duration, size int) {
	c.ensureMachine()
	for range n {
		body := fmt.Sprintf("request %d\n", len(c.byBody))
		body += string(slices.Repeat([]byte{'x'}, size))
		r := &requestState{class: class, started: c.sim.now}
		c.byBody[body] = r
		id, actions := c.machine.Start(c.sim.now, request.Call{
			Class:    class,
			Body:     []byte(body),
			Deadline: c.sim.now.Add(deadline),
		})
		c.calls[id] = r
		c.apply(actions)
	}
}

func (c *callers) tick() {
	if c.machine != nil {
		c.apply(c.machine.Tick(c.sim.now))
	}
}

func (c *callers) apply(actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.Send:
			if data, err := wire.EncodeCaller(a.Packet); err == nil {
				c.send(c.sim.fleet.balancers[a.Balancer].id, c.clientKey, data)
			}
		case request.Finished:
			c.finish(a)
		case request.SessionOpened:
			c.sessions[a.ID].opened = true
		case request.SessionMessage:
			c.sessions[a.ID].received++
		case request.SessionEnded:
			c.sessions[a.ID].ended = a.Err
			c.sessions[a.ID].endedAt = c.sim.now
		}
	}
}

func (c *callers) finish(f request.Finished) {
	r := c.calls[f.ID]
	r.finished = true
	r.err = f.Err
	if f.Response != nil {
		r.answered = true
		r.correct = c.byBody[string(f.Response.Body)] == r
	}
}

// recordRun records that a backend server started to run a request.
func (c *callers) recordRun(_ uint32, r offer.StartRequest) {
	if state := c.byBody[string(r.Body)]; state != nil {
		state.runs++
	}
}
