// Package flow implements ownership of plain datagram flows at an agent. Only
// the owner decides about a flow; for any other flow the agent consults its
// directory, queries other candidates or opens the flow, so that agents with
// different views do not open the same flow twice.
//
// The package does no I/O and reads no clock: callers pass packets, messages and
// the time, and execute the returned actions.
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

// Packet is a caller's packet of a plain flow, in transit to a backend server.
type Packet struct {
	// Key identifies the flow.
	Key placement.Key
	// Payload is the caller's packet, unmodified.
	Payload []byte
	// Return is the tunnel address of the balancer that received the packet.
	Return netip.AddrPort
	// Age is the time since a balancer received the packet.
	Age time.Duration
	// Hops counts how often agents forwarded the packet.
	Hops int
	// RefusedBy lists the targets that refused the flow and promised not to open
	// it.
	RefusedBy []uint32
	// Trace is the W3C traceparent, empty when not sampled.
	Trace string
}

// Service holds the settings of a service that Core uses.
type Service struct {
	// ID is the service ID.
	ID uint32
	// TimeoutAction is what happens to a new flow when an earlier candidate
	// does not reply to a query.
	TimeoutAction schema.TimeoutAction
	// IdleTimeout is the time without packets after which a flow is closed.
	IdleTimeout time.Duration
}

// View is the agent's view of configuration, hosts and targets.
type View struct {
	// Table places flows by the configuration revision in force.
	Table *placement.Table
	// Services are the services of this agent's target, by service ID.
	Services map[uint32]Service
	// Usable reports whether a target may get new flows.
	Usable func(target uint32) bool
	// Dead reports whether failure detection declared a target dead.
	Dead func(target uint32) bool
}

// Admission grants room for new flows. An error from OpenFlow means that
// nothing was opened.
type Admission interface {
	OpenFlow(now time.Time, service uint32) *errkind.Error
	CloseFlow(service uint32)
}

// Limits bounds the memory, timers and retries of a Core.
type Limits struct {
	// Window is the time for which the agent is unsettled after a change, that
	// is, queries all candidates before it opens a flow.
	Window time.Duration
	// QueryTimeout is the timeout of one attempt of a query, QueryAttempts the
	// number of attempts.
	QueryTimeout  time.Duration
	QueryAttempts int
	// BufferedPerFlow and BufferedTotal limit the packets buffered while
	// queries are pending.
	BufferedPerFlow int
	BufferedTotal   int
	// DirectoryEntries limits the registered directory entries, Promises the
	// promised ones.
	DirectoryEntries int
	Promises         int
	// EntryTTL is the TTL of a directory entry.
	EntryTTL time.Duration
	// RefreshInterval is the interval between registrations.
	RefreshInterval time.Duration
	// DeadTargetTTL is the time for which directory entries of a dead target
	// are kept beyond EntryTTL, and for which a dead target extends the window
	// of a service that it was removed from.
	DeadTargetTTL time.Duration
	// MaxOpeningAge is the age above which a packet opens no flow.
	MaxOpeningAge time.Duration
	// PauseThreshold is the gap between ticks that counts as a pause of the
	// process.
	PauseThreshold time.Duration
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{
		// Two registration intervals plus the 4 s that a change takes to be in
		// force everywhere: after that the directory has all displaced flows,
		// even when one registration was lost.
		Window:           14 * time.Second,
		QueryTimeout:     100 * time.Millisecond,
		QueryAttempts:    3,
		BufferedPerFlow:  4,
		BufferedTotal:    1024,
		DirectoryEntries: 65536,
		Promises:         16384,
		EntryTTL:         30 * time.Second,
		DeadTargetTTL:    10 * time.Minute,
		RefreshInterval:  5 * time.Second,
		MaxOpeningAge:    2 * time.Second,
		PauseThreshold:   2 * time.Second,
	}
}

// Action is an effect that the caller of Core executes. The types below
// implement it.
type Action interface{ action() }

// Deliver sends a packet to the backend server over the socket of its flow.
type Deliver struct {
	Packet Packet
	// Opened is set for the first packet of the flow.
	Opened bool
}

// Forward sends a packet to the agent of another target.
type Forward struct {
	Target uint32
	Packet Packet
}

// SendQuery sends a query whether a target owns a flow.
type SendQuery struct {
	Target uint32
	Ask    *schema.Ask
}

// SendReply replies to a query.
type SendReply struct {
	Target uint32
	Reply  *schema.AskReply
}

// SendRegister registers flows of this agent at another target.
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

// OutOfOrder reports a flow opened by a target that is not its first candidate.
type OutOfOrder struct {
	Key placement.Key
	// Position is the index of this target among the candidates.
	Position int
}

// QueryTimeout reports that queried targets did not reply.
type QueryTimeout struct {
	Key placement.Key
	// Missing are the targets that did not reply.
	Missing []uint32
	// Opened is set if the flow was opened nevertheless.
	Opened bool
}

// CloseReason is the reason for which a flow was closed.
type CloseReason int

// Values of CloseReason.
const (
	// CloseIdle means that the flow had no packets for its idle timeout.
	CloseIdle CloseReason = iota
	// CloseConflict means that another target owns the flow as well.
	CloseConflict
	// CloseBackend means that the backend socket of the flow failed.
	CloseBackend
)

func (Deliver) action()      {}
func (Forward) action()      {}
func (SendQuery) action()    {}
func (SendReply) action()    {}
func (SendRegister) action() {}
func (Close) action()        {}
func (Drop) action()         {}
func (OutOfOrder) action()   {}
func (QueryTimeout) action() {}

// ownedFlow is a flow of this agent.
type ownedFlow struct {
	key         placement.Key
	hash        uint64
	idleTimeout time.Duration
	lastCaller  time.Time
	lastPacket  time.Time
}

// Stats holds the gauges and counters of a Core.
type Stats struct {
	// Flows is the number of open flows.
	Flows int
	// Registered and Promised are the directory entries by kind.
	Registered int
	Promised   int
	// Buffered is the number of buffered packets.
	Buffered int
	// Opened counts opened flows, OpenedWithoutQuery those opened without a query.
	Opened             uint64
	OpenedWithoutQuery uint64
	// Queries counts queries sent, including repetitions.
	Queries uint64
	// QueryTimeouts counts flows for which a queried target did not reply.
	QueryTimeouts uint64
	// Conflicts counts registrations of flows that this agent owns as well.
	Conflicts uint64
	// Pauses counts gaps between ticks above PauseThreshold.
	Pauses uint64
}

// Core holds the flow ownership state of one agent. It is not safe for
// concurrent use.
type Core struct {
	self      uint32
	limits    Limits
	admission Admission
	view      View

	flows     map[placement.Key]*ownedFlow
	byHash    map[uint64]*ownedFlow
	directory *directory
	pending   map[uint64]*pendingFlow
	buffered  int
	sequence  uint64

	settle        settleState
	pastTables    []pastTable
	usable        map[uint32]bool
	lastTick      time.Time
	lastRefresh   time.Time
	nextIdleCheck time.Time
	stats         Stats
	actions       []Action
	baseline      bool
}

// SetBaseline makes the agent open every unknown flow without a query, as plain
// hashing at the balancers requires. It is for comparison only.
func (c *Core) SetBaseline(on bool) {
	c.baseline = on
}

// New returns the Core of the agent of target self. It starts unsettled, since
// an earlier incarnation of the target may have owned flows or made promises.
func New(now time.Time, self uint32, limits Limits, admission Admission) *Core {
	c := &Core{
		self:        self,
		limits:      limits,
		admission:   admission,
		flows:       map[placement.Key]*ownedFlow{},
		byHash:      map[uint64]*ownedFlow{},
		directory:   newDirectory(limits),
		pending:     map[uint64]*pendingFlow{},
		lastTick:    now,
		lastRefresh: now,
	}
	c.settle.setAll(now.Add(limits.Window))
	return c
}

// Stats returns the current statistics.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Flows = len(c.flows)
	s.Registered = len(c.directory.registered)
	s.Promised = len(c.directory.promised)
	s.Buffered = c.buffered
	return s
}

// Owns reports whether the agent owns a flow.
func (c *Core) Owns(k placement.Key) bool {
	return c.flows[k] != nil
}

// HandlePacket processes a packet of a caller.
func (c *Core) HandlePacket(now time.Time, p Packet) []Action {
	c.actions = nil
	if f := c.flows[p.Key]; f != nil {
		// An open flow continues even if the target no longer serves the service.
		f.lastCaller, f.lastPacket = now, now
		c.emit(Deliver{Packet: p})
		return c.actions
	}
	if _, ok := c.view.Services[p.Key.Service]; !ok {
		c.drop(p, schema.ErrorKind_WRONG_SERVICE, "the target does not serve the service")
		return c.actions
	}
	c.handleUnknown(now, p)
	return c.actions
}

// HandleBackendPacket records a packet of the backend server, so that a flow on
// which only the backend server sends is not closed as idle.
func (c *Core) HandleBackendPacket(now time.Time, k placement.Key) {
	if f := c.flows[k]; f != nil {
		f.lastPacket = now
	}
}

// BackendClosed closes a flow whose backend socket failed.
func (c *Core) BackendClosed(k placement.Key) []Action {
	c.actions = nil
	if f := c.flows[k]; f != nil {
		c.closeFlow(f, CloseBackend)
	}
	return c.actions
}

// Tick runs the timers. It is to be called about ten times per second.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = nil
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
	if now.Sub(c.lastRefresh) >= c.limits.RefreshInterval {
		c.registerAll(now)
	}
	return c.actions
}

func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Core) drop(p Packet, kind schema.ErrorKind, cause string) {
	c.emit(Drop{Packet: p, Kind: kind, Cause: cause})
}

func (c *Core) hash(k placement.Key) uint64 {
	return c.view.Table.Hash(k)
}

// open opens a flow at this target, or retries it on the next target when
// admission refuses it.
func (c *Core) open(now time.Time, hash uint64, packets []Packet) {
	first := packets[0]
	if err := c.admission.OpenFlow(now, first.Key.Service); err != nil {
		c.retryOnNextTarget(now, hash, packets, err)
		return
	}
	f := &ownedFlow{
		key:         first.Key,
		hash:        hash,
		idleTimeout: c.view.Services[first.Key.Service].IdleTimeout,
		lastCaller:  now,
		lastPacket:  now,
	}
	c.flows[f.key] = f
	c.byHash[hash] = f
	c.directory.remove(hash)
	c.stats.Opened++
	for i, p := range packets {
		c.emit(Deliver{Packet: p, Opened: i == 0})
	}
	if position := slices.Index(c.candidates(f.key.Service, hash), c.self); position != 0 {
		c.emit(OutOfOrder{Key: f.key, Position: position})
	}
	c.registerOne(f)
}

func (c *Core) closeFlow(f *ownedFlow, reason CloseReason) {
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

// closeIdle closes idle flows, at most once per second since it iterates over
// all flows.
func (c *Core) closeIdle(now time.Time) {
	if now.Before(c.nextIdleCheck) {
		return
	}
	c.nextIdleCheck = now.Add(time.Second)
	var idle []*ownedFlow
	for _, f := range c.flows {
		if f.idleTimeout > 0 && now.Sub(f.lastPacket) >= f.idleTimeout {
			idle = append(idle, f)
		}
	}
	slices.SortFunc(idle, func(a, b *ownedFlow) int { return cmp.Compare(a.hash, b.hash) })
	for _, f := range idle {
		c.closeFlow(f, CloseIdle)
	}
}
