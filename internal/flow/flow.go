// Package flow decides at an agent who owns a plain datagram flow. The agent is
// the only authority on its own flows; for a flow that it does not know it
// looks into the directory, asks other candidates or opens the flow, so that
// agents with different views do not open one flow twice.
//
// The package is pure: packets, messages and the time go in, actions come out.
package flow

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Packet is a packet of a plain flow on its way to a backend server.
type Packet struct {
	// Key identifies the flow.
	Key placement.Key
	// Payload is the packet of the caller, verbatim.
	Payload []byte
	// Return is the tunnel address of the balancer that took the packet in.
	Return netip.AddrPort
	// Age is the time since the packet entered the system.
	Age time.Duration
	// Hops counts the transfers between agents.
	Hops int
	// Passed lists the targets that passed the flow on and promised not to open it.
	Passed []uint32
	// Trace is the W3C traceparent, empty when not sampled.
	Trace string
}

// Service is what the core needs to know about a service.
type Service struct {
	// ID is the service ID.
	ID uint32
	// TimeoutAction decides when an earlier candidate does not answer.
	TimeoutAction schema.TimeoutAction
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration
}

// View is what the agent believes about the fleet.
type View struct {
	// Table places flows by the revision in force.
	Table *placement.Table
	// Services are the services of this agent's target.
	Services map[uint32]Service
	// Usable reports whether a target may get new flows.
	Usable func(target uint32) bool
	// Dead reports whether a target was found dead by its probers.
	Dead func(target uint32) bool
}

// Admission grants room for new flows. A refusal means that nothing was opened.
type Admission interface {
	OpenFlow(now time.Time, service uint32) *errkind.Error
	CloseFlow(service uint32)
}

// Limits bound the state and the waiting of a Core.
type Limits struct {
	// Window is the time for which the agent is unsettled after a change.
	Window time.Duration
	// AskTimeout is the wait for one reply; AskTries is the number of attempts.
	AskTimeout time.Duration
	AskTries   int
	// HeldPerFlow and HeldTotal bound the buffered packets.
	HeldPerFlow int
	HeldTotal   int
	// DirectoryEntries bounds registered flows, Promises the promised ones.
	DirectoryEntries int
	Promises         int
	// EntryTTL is the lifetime of an entry; Refresh is the interval of
	// registrations.
	EntryTTL time.Duration
	Refresh  time.Duration
	// HoldDead is the time for which entries of a target that is out of contact
	// stay after their lifetime.
	HoldDead time.Duration
	// MaxAge is the age above which a packet opens nothing.
	MaxAge time.Duration
	// PauseThreshold is the gap between ticks that counts as a pause.
	PauseThreshold time.Duration
}

// DefaultLimits returns the limits of the design page.
func DefaultLimits() Limits {
	return Limits{
		// Two registration intervals and the 4 s in which a change is in force
		// everywhere: after that the directory knows all displaced flows, even
		// when one registration was lost.
		Window:           14 * time.Second,
		AskTimeout:       100 * time.Millisecond,
		AskTries:         3,
		HeldPerFlow:      4,
		HeldTotal:        1024,
		DirectoryEntries: 65536,
		Promises:         16384,
		EntryTTL:         30 * time.Second,
		HoldDead:         10 * time.Minute,
		Refresh:          5 * time.Second,
		MaxAge:           2 * time.Second,
		PauseThreshold:   2 * time.Second,
	}
}

// Action is one thing that the daemon must do; see the types that implement it.
type Action interface{ action() }

// Deliver hands a packet to the backend server over the socket of its flow.
type Deliver struct {
	Packet Packet
	// Opened is set for the first packet of the flow.
	Opened bool
}

// Forward sends a packet to another target's agent.
type Forward struct {
	Target uint32
	Packet Packet
}

// SendAsk asks a target whether it owns a flow.
type SendAsk struct {
	Target uint32
	Ask    *schema.Ask
}

// SendReply answers an Ask.
type SendReply struct {
	Target uint32
	Reply  *schema.AskReply
}

// SendRegister tells a target which flows this agent owns.
type SendRegister struct {
	Target   uint32
	Register *schema.Register
}

// Close ends a flow at the backend server.
type Close struct {
	Key    placement.Key
	Reason CloseReason
}

// Drop reports a packet that was not delivered.
type Drop struct {
	Packet Packet
	Kind   schema.ErrorKind
	Cause  string
}

// OutOfOrder reports a flow that a later candidate opened.
type OutOfOrder struct {
	Key placement.Key
	// Position is the place of this target in the order, from 0.
	Position int
}

// AskTimeout reports that asked targets did not answer.
type AskTimeout struct {
	Key placement.Key
	// Missing are the targets that did not answer.
	Missing []uint32
	// Opened says whether the flow was opened all the same.
	Opened bool
}

// CloseReason says why a flow ended.
type CloseReason int

// Values of CloseReason.
const (
	// CloseIdle ends a flow without packets for its idle timeout.
	CloseIdle CloseReason = iota
	// CloseConflict ends a flow that another target serves as well.
	CloseConflict
	// CloseBackend ends a flow whose backend socket failed.
	CloseBackend
)

func (Deliver) action()      {}
func (Forward) action()      {}
func (SendAsk) action()      {}
func (SendReply) action()    {}
func (SendRegister) action() {}
func (Close) action()        {}
func (Drop) action()         {}
func (OutOfOrder) action()   {}
func (AskTimeout) action()   {}

// owned is a flow of this agent.
type owned struct {
	key        placement.Key
	hash       uint64
	idle       time.Duration
	lastCaller time.Time
	lastPacket time.Time
}

// Stats counts what the core did.
type Stats struct {
	// Flows is the number of open flows.
	Flows int
	// Registered and Promised are the directory entries by kind.
	Registered int
	Promised   int
	// Held is the number of buffered packets.
	Held int
	// Opened counts opened flows, OpenedAlone those without a query.
	Opened      uint64
	OpenedAlone uint64
	// Asks counts queries sent, AskTimeouts queries without a reply.
	Asks        uint64
	AskTimeouts uint64
	// Conflicts counts flows that two targets served.
	Conflicts uint64
	// Pauses counts clock jumps.
	Pauses uint64
}

// Core is the ownership state of one agent. It is not safe for concurrent use.
type Core struct {
	self      uint32
	limits    Limits
	admission Admission
	view      View

	flows     map[placement.Key]*owned
	byHash    map[uint64]*owned
	directory *directory
	pending   map[uint64]*pending
	held      int
	sequence  uint64

	settle      settle
	history     []retired
	usable      map[uint32]bool
	lastTick    time.Time
	lastRefresh time.Time
	nextIdle    time.Time
	stats       Stats
	out         []Action
	baseline    bool
}

// SetBaseline makes the agent open every unknown flow without asking, as a
// balancer that only hashes needs it. It serves for comparison only.
func (c *Core) SetBaseline(on bool) {
	c.baseline = on
}

// New returns the core of the agent of a target. It starts unsettled, since an
// earlier process of this target may have owned flows or made promises.
func New(now time.Time, self uint32, limits Limits, admission Admission) *Core {
	c := &Core{
		self:        self,
		limits:      limits,
		admission:   admission,
		flows:       map[placement.Key]*owned{},
		byHash:      map[uint64]*owned{},
		directory:   newDirectory(limits),
		pending:     map[uint64]*pending{},
		lastTick:    now,
		lastRefresh: now,
	}
	c.settle.all(now.Add(limits.Window))
	return c
}

// Stats returns the counts.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Flows = len(c.flows)
	s.Registered = len(c.directory.registered)
	s.Promised = len(c.directory.promised)
	s.Held = c.held
	return s
}

// Owns reports whether the agent owns a flow.
func (c *Core) Owns(k placement.Key) bool {
	return c.flows[k] != nil
}

// HandlePacket decides about a packet of a caller.
func (c *Core) HandlePacket(now time.Time, p Packet) []Action {
	c.out = nil
	if f := c.flows[p.Key]; f != nil {
		// Flows stay also when the target no longer serves the service.
		f.lastCaller, f.lastPacket = now, now
		c.emit(Deliver{Packet: p})
		return c.out
	}
	if _, ok := c.view.Services[p.Key.Service]; !ok {
		c.drop(p, schema.ErrorKind_WRONG_SERVICE, "the target does not serve the service")
		return c.out
	}
	c.handleUnknown(now, p)
	return c.out
}

// HandleAnswer notes a packet of the backend server, so that a flow on which
// only the backend server sends is not idle.
func (c *Core) HandleAnswer(now time.Time, k placement.Key) {
	if f := c.flows[k]; f != nil {
		f.lastPacket = now
	}
}

// BackendClosed removes a flow whose backend socket failed.
func (c *Core) BackendClosed(k placement.Key) []Action {
	c.out = nil
	if f := c.flows[k]; f != nil {
		c.closeFlow(f, CloseBackend)
	}
	return c.out
}

// Tick advances timers; the daemon calls it about ten times a second.
func (c *Core) Tick(now time.Time) []Action {
	c.out = nil
	if now.Sub(c.lastTick) > c.limits.PauseThreshold {
		c.resumeAfterPause(now)
	}
	c.lastTick = now
	c.tickPending(now)
	c.closeIdle(now)
	if c.view.Table != nil {
		c.directory.expire(now, c.view.Dead)
		c.extendWindows(now)
	}
	if now.Sub(c.lastRefresh) >= c.limits.Refresh {
		c.registerAll(now)
	}
	return c.out
}

func (c *Core) emit(a Action) {
	c.out = append(c.out, a)
}

func (c *Core) drop(p Packet, kind schema.ErrorKind, cause string) {
	c.emit(Drop{Packet: p, Kind: kind, Cause: cause})
}

func (c *Core) hash(k placement.Key) uint64 {
	return c.view.Table.Hash(k)
}

// open starts a flow here, or passes it on when there is no room.
func (c *Core) open(now time.Time, hash uint64, packets []Packet) {
	first := packets[0]
	if err := c.admission.OpenFlow(now, first.Key.Service); err != nil {
		c.passOn(now, hash, packets, err)
		return
	}
	f := &owned{
		key:        first.Key,
		hash:       hash,
		idle:       c.view.Services[first.Key.Service].IdleTimeout,
		lastCaller: now,
		lastPacket: now,
	}
	c.flows[f.key] = f
	c.byHash[hash] = f
	c.directory.forget(hash)
	c.stats.Opened++
	for i, p := range packets {
		c.emit(Deliver{Packet: p, Opened: i == 0})
	}
	if position := slices.Index(c.candidates(f.key.Service, hash), c.self); position != 0 {
		c.emit(OutOfOrder{Key: f.key, Position: position})
	}
	c.registerOne(f)
}

func (c *Core) closeFlow(f *owned, reason CloseReason) {
	for _, target := range c.lookupTargets(f) {
		c.emit(SendRegister{Target: target, Register: &schema.Register{
			Owner:      c.self,
			Service:    f.key.Service,
			FlowHashes: []uint64{f.hash},
			Remove:     true,
		}})
	}
	delete(c.flows, f.key)
	delete(c.byHash, f.hash)
	c.admission.CloseFlow(f.key.Service)
	c.emit(Close{Key: f.key, Reason: reason})
}

// closeIdle ends idle flows, once a second since it walks over all of them.
func (c *Core) closeIdle(now time.Time) {
	if now.Before(c.nextIdle) {
		return
	}
	c.nextIdle = now.Add(time.Second)
	var idle []*owned
	for _, f := range c.flows {
		if f.idle > 0 && now.Sub(f.lastPacket) >= f.idle {
			idle = append(idle, f)
		}
	}
	slices.SortFunc(idle, func(a, b *owned) int { return cmp.Compare(a.hash, b.hash) })
	for _, f := range idle {
		c.closeFlow(f, CloseIdle)
	}
}
