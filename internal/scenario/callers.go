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

// plainFlow is a flow of a caller that knows nothing of the system.
type plainFlow struct {
	key placement.Key
	// owners are the targets that delivered packets of the flow, in order of
	// their first one.
	owners []uint32
	// sent and answered are the numbers of the last packet.
	sent, answered uint32
	// opens counts how often a target opened the flow.
	opens int
}

// call is one request of a caller.
type call struct {
	class    string
	begin    time.Time
	finished bool
	ok       bool
	whole    bool
	err      *errkind.Error
	runs     int
}

// callers holds all callers and what they saw.
type callers struct {
	world   *world
	flows   []*plainFlow
	byKey   map[placement.Key]*plainFlow
	machine *request.Machine
	client  placement.Key
	calls   map[uint64]*call
	byBody  map[string]*call
	service map[string]time.Duration
	// sessions holds the sessions by ID, ids their order.
	sessions map[uint64]*session
	ids      []uint64
}

// session is one session of the caller package.
type session struct {
	opened         bool
	sent, received int
	ended          *errkind.Error
	endedAt        time.Time
}

func newCallers(w *world) *callers {
	return &callers{
		world:    w,
		byKey:    map[placement.Key]*plainFlow{},
		calls:    map[uint64]*call{},
		byBody:   map[string]*call{},
		sessions: map[uint64]*session{},
		client:   placement.Key{Service: requestService, Caller: callerAddress(60000)},
		service: map[string]time.Duration{
			"bid": 10 * time.Millisecond, "payment": 10 * time.Millisecond, "upload": 50 * time.Millisecond,
		},
	}
}

func callerAddress(i int) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)})
	return netip.AddrPortFrom(addr, uint16(20000+i%40000))
}

func (c *callers) serviceTime(class string) time.Duration {
	return c.service[class]
}

// open starts plain flows and sends their first packets.
func (c *callers) open(n int, balancer string) {
	for range n {
		key := placement.Key{Service: plainService, Caller: callerAddress(len(c.flows))}
		f := &plainFlow{key: key}
		c.flows = append(c.flows, f)
		c.byKey[key] = f
		c.sendPlain(f, balancer)
	}
}

// sendAll sends a packet on every plain flow, through one balancer when named.
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

// randomBalancer picks a balancer as the fabric does: any that is not dead.
func (c *callers) randomBalancer() string {
	var live []string
	for _, b := range c.world.fleet.balancers {
		if !c.world.slots[b.label].dead {
			live = append(live, b.label)
		}
	}
	if len(live) == 0 {
		return ""
	}
	return live[c.world.rng.IntN(len(live))]
}

func (c *callers) send(balancer string, key placement.Key, data []byte) {
	w := c.world
	sent := w.now
	w.transmit("caller", balancer, func() { c.reach(balancer, key, data, sent) })
}

// reach hands a packet to a balancer, after its pause when it is paused.
func (c *callers) reach(label string, key placement.Key, data []byte, arrived time.Time) {
	s := c.world.slots[label]
	if s == nil || s.dead {
		return
	}
	if s.paused {
		c.world.after(tickInterval, func() { c.reach(label, key, data, arrived) })
		return
	}
	s.process.(*balancer).fromCaller(key, data, c.world.now.Sub(arrived))
}

// delivered notes which target delivered a packet of a plain flow.
func (c *callers) delivered(target uint32, key placement.Key, opened bool) {
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

// answer takes a packet from a balancer to a caller.
func (c *callers) answer(from string, key placement.Key, data []byte) {
	data = slices.Clone(data)
	c.world.transmit(from, "caller", func() {
		if key == c.client {
			if p, err := wire.DecodeCaller(data); err == nil && c.machine != nil {
				c.apply(c.machine.Receive(c.world.now, p))
			}
			return
		}
		if f := c.byKey[key]; f != nil && len(data) == 4 {
			f.answered = max(f.answered, binary.BigEndian.Uint32(data))
		}
	})
}

// openSessions opens sessions of the caller package.
func (c *callers) openSessions(n int) {
	c.needMachine()
	for range n {
		id, actions := c.machine.OpenSession(c.world.now, "bid", c.world.now.Add(10*time.Second))
		c.sessions[id] = &session{}
		c.ids = append(c.ids, id)
		c.apply(actions)
	}
}

// message sends one message on every session that is open.
func (c *callers) message() {
	for _, id := range c.ids {
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

func (c *callers) needMachine() {
	if c.machine == nil {
		c.machine = request.New(len(c.world.fleet.balancers), rand.New(rand.NewPCG(7, c.world.rng.Uint64())))
	}
}

// start begins requests of a class.
func (c *callers) start(n int, class string, deadline time.Duration, size int) {
	c.needMachine()
	for range n {
		body := fmt.Sprintf("request %d\n", len(c.byBody))
		body += string(slices.Repeat([]byte{'x'}, size))
		r := &call{class: class, begin: c.world.now}
		c.byBody[body] = r
		id, actions := c.machine.Start(c.world.now, request.Call{
			Class:    class,
			Body:     []byte(body),
			Deadline: c.world.now.Add(deadline),
		})
		c.calls[id] = r
		c.apply(actions)
	}
}

func (c *callers) tick() {
	if c.machine != nil {
		c.apply(c.machine.Tick(c.world.now))
	}
}

func (c *callers) apply(actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.Send:
			if data, err := wire.EncodeCaller(a.Packet); err == nil {
				c.send(c.world.fleet.balancers[a.Balancer].label, c.client, data)
			}
		case request.Finished:
			c.finish(a)
		case request.SessionOpened:
			c.sessions[a.ID].opened = true
		case request.SessionMessage:
			c.sessions[a.ID].received++
		case request.SessionEnded:
			c.sessions[a.ID].ended = a.Err
			c.sessions[a.ID].endedAt = c.world.now
		}
	}
}

func (c *callers) finish(f request.Finished) {
	r := c.calls[f.ID]
	r.finished = true
	r.err = f.Err
	if f.Response != nil {
		r.ok = true
		r.whole = c.byBody[string(f.Response.Body)] == r
	}
}

// ran notes that a backend server began to work on a request.
func (c *callers) ran(_ uint32, r offer.StartRequest) {
	if known := c.byBody[string(r.Body)]; known != nil {
		known.runs++
	}
}
