// Package segnode runs the two processes of the segment mode: the balancer,
// which forwards callers' segments to targets, and the agent beside a target.
// They carry out the decisions of the packages steering, occupancy, peers and
// registry.
package segnode

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// maxDatagram is the largest datagram that is read, in bytes. The Ethernet
	// payload is 1,500 bytes, so any segment and control message fits.
	maxDatagram = 2048
	// maxTasks is the number of task errors that are buffered until the process
	// ends.
	maxTasks = 3
	// tickInterval is the time between two ticks of a process. It bounds the
	// delay of a decision that depends on time alone.
	tickInterval = 50 * time.Millisecond
)

// Source reads the configuration and the targets from the store.
type Source interface {
	// SetAddress sets the address of the store. Calls that have begun end as they would have.
	SetAddress(address netip.AddrPort)
	// OnUnusable sets the function that is called for each entry, or part of one, that is
	// left out because it cannot be used. It is called before the other methods.
	OnUnusable(report func(registry.Unusable))
	// Routes returns the configuration and the evacuated zones with the position at which they
	// were read. The version of the configuration is 0 if there is none or it cannot be read.
	// It may take several calls to the store, each of which is given up after the timeout.
	Routes(ctx context.Context, timeout time.Duration) (registry.Routes, registry.Evacuations, error)
	// WatchRoutes waits for a configuration or a change of evacuated zones published after a
	// position, for at most the timeout. The pointer is nil when no configuration that can be
	// read arrived. It returns the position up to which both are complete.
	WatchRoutes(ctx context.Context, after registry.Position, timeout time.Duration) (*registry.Routes, []registry.ZoneChange, registry.Position, error)
	// Targets returns the complete table. It may take several calls to the store, each of
	// which is given up after the timeout.
	Targets(ctx context.Context, timeout time.Duration) (registry.Table, error)
	// WatchTargets waits for changes of targets after a position, for at most
	// the timeout. It returns them with the position up to which they are
	// complete.
	WatchTargets(ctx context.Context, after registry.Position, timeout time.Duration) ([]registry.Change, registry.Position, error)
}

// ErrHistoryLost is returned when the store no longer has the history after the
// position of a watch, or when it was restored during a read. The whole value has to
// be read again.
var ErrHistoryLost = errors.New("the store no longer has the history of the watched revision")

// Common are the settings that balancers and agents share.
type Common struct {
	Host, Zone string
	// Packets is the address at which segments arrive.
	Packets netip.AddrPort
	// Link is the address at which control datagrams arrive.
	Link  netip.AddrPort
	Codec segment.Codec
	// Logger logs decisions and changes of state.
	Logger *telemetry.DecisionLog
}

// tasks are the goroutines of a process.
type tasks struct {
	group sync.WaitGroup
	// failed receives the errors of tasks that failed.
	failed chan error
}

func newTasks() tasks { return tasks{failed: make(chan error, maxTasks)} }

// run starts a task. An error that it returns ends the process.
func (t *tasks) run(task func() error) {
	t.group.Go(func() {
		if err := task(); err != nil {
			t.failed <- err
		}
	})
}

// Ended returns the channel that receives the error of a task that failed.
func (t *tasks) Ended() <-chan error { return t.failed }

// waitWhile waits while a condition holds, at least until the next tick and at most until
// ctx is done.
func waitWhile(ctx context.Context, c clock, condition func(now time.Duration) bool) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !condition(c.now()) {
				return
			}
		}
	}
}

// clock returns the monotonic time since the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) }

// deadline converts a time of the clock to a socket deadline.
func (c clock) deadline(at time.Duration) time.Time { return c.start.Add(at) }

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	return socket, errors.Wrapf(err, "bind UDP address %s", address)
}

// receive calls handle for each datagram, and tick every tickInterval or at the
// earlier time that nextDue returns, all from the calling goroutine, until the
// socket is closed. nextDue may be nil.
func receive(socket *net.UDPConn, c clock, handle func(b []byte, from netip.AddrPort), tick func(now time.Duration), nextDue func() (time.Duration, bool)) error {
	buf := make([]byte, maxDatagram)
	var next, armedFor time.Duration
	for {
		now := c.now()
		if now >= next {
			if tick != nil {
				tick(now)
			}
			next = now + tickInterval
		}
		if nextDue != nil {
			if at, ok := nextDue(); ok {
				next = min(next, max(at, now))
			}
		}
		if next != armedFor {
			armedFor = next
			if err := socket.SetReadDeadline(c.deadline(next)); err != nil {
				return ignoreClosed(err)
			}
		}
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			handle(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		case errors.Is(err, os.ErrDeadlineExceeded):
		case transient(err):
		default:
			return ignoreClosed(err)
		}
	}
}

// ignoreClosed returns nil for the error of a closed socket.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// transient reports whether an error of a UDP socket concerns a single
// datagram, such as an unreachable port at the destination of an earlier one.
func transient(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !errors.Is(err, net.ErrClosed)
}

// transmitter sends datagrams for a process. It logs and counts those that
// cannot be sent and drops them.
type transmitter struct {
	logger  *telemetry.DecisionLog
	metrics *telemetry.SegmentMetrics
}

func (t transmitter) datagram(socket *net.UDPConn, b []byte, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b, to); err != nil {
		t.failed(to, err)
	}
}

func (t transmitter) message(socket *net.UDPConn, message *schema.LinkMessage, to netip.AddrPort) {
	t.messages(socket, message, []netip.AddrPort{to})
}

// messages sends a message to several addresses.
func (t transmitter) messages(socket *net.UDPConn, message *schema.LinkMessage, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b, err := proto.Marshal(message)
	if err != nil {
		t.failed(to[0], errors.Wrap(err, "encode control message"))
		return
	}
	for _, address := range to {
		t.datagram(socket, b, address)
	}
}

func (t transmitter) failed(to netip.AddrPort, err error) {
	t.metrics.SendErrors.Inc()
	if t.logger.Allow(telemetry.SendFailed) {
		t.logger.Log(telemetry.SendFailed, "to", to, "error", err)
	}
}
