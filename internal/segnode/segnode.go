// Package segnode runs the two processes of the segment mode: the balancer,
// which forwards callers' segments to targets, and the agent beside a target.
// They carry out what the decision packages steering, occupancy, peers and
// registry say.
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
	// maxDatagram is the largest datagram that is read, in bytes: the Ethernet
	// payload of 1,500 leaves room for any segment and control message.
	maxDatagram = 2048
	// maxTasks is the number of errors that wait until the process ends.
	maxTasks = 3
	// tickInterval is the time between two ticks of a process. It bounds how
	// late a decision that depends on time alone is taken.
	tickInterval = 50 * time.Millisecond
)

// Source reads what the operators and the targets publish.
type Source interface {
	// Routes returns the configuration and the revision at which it was read.
	Routes(ctx context.Context) (registry.Routes, uint64, error)
	// WatchRoutes waits for a configuration after a revision. The pointer is nil
	// when there was none within the wait.
	WatchRoutes(ctx context.Context, after uint64, wait time.Duration) (*registry.Routes, uint64, error)
	// Targets returns the complete table.
	Targets(ctx context.Context) (registry.Table, error)
	// WatchTargets waits for changes of targets after a revision.
	WatchTargets(ctx context.Context, after uint64, wait time.Duration) ([]registry.Change, uint64, error)
}

// ErrHistoryLost reports a watch whose revision the store no longer knows; the
// whole has to be read again.
var ErrHistoryLost = errors.New("history of the store is no longer available")

// Common are the settings that both processes have.
type Common struct {
	Host, Zone string
	// Packets is where segments arrive.
	Packets netip.AddrPort
	// Link is where control datagrams arrive.
	Link  netip.AddrPort
	Codec segment.Codec
	// Logger takes decisions and changes of belief.
	Logger *telemetry.Decisions
}

// tasks are the goroutines of a process.
type tasks struct {
	group sync.WaitGroup
	// failed takes the errors of those that failed.
	failed chan error
}

func newTasks() tasks { return tasks{failed: make(chan error, maxTasks)} }

// run starts a task whose error ends the process.
func (t *tasks) run(task func() error) {
	t.group.Go(func() {
		if err := task(); err != nil {
			t.failed <- err
		}
	})
}

// Ended yields the error of a task that failed.
func (t *tasks) Ended() <-chan error { return t.failed }

// clock returns the monotonic time since the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) }

// deadline converts a time of the clock for a socket.
func (c clock) deadline(at time.Duration) time.Time { return c.start.Add(at) }

// listen binds a UDP socket.
func listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	return socket, errors.Wrapf(err, "bind UDP address %s", address)
}

// receive calls handle for each datagram, and tick at every tickInterval or at
// the earlier time that soon returns, all from the calling goroutine, until the
// socket is closed. Soon may be nil.
func receive(socket *net.UDPConn, c clock, handle func(b []byte, from netip.AddrPort), tick func(now time.Duration), soon func() (time.Duration, bool)) error {
	buf := make([]byte, maxDatagram)
	var next, armed time.Duration
	for {
		now := c.now()
		if now >= next {
			if tick != nil {
				tick(now)
			}
			next = now + tickInterval
		}
		if soon != nil {
			if at, ok := soon(); ok {
				next = min(next, max(at, now))
			}
		}
		if next != armed {
			armed = next
			if err := socket.SetReadDeadline(c.deadline(next)); err != nil {
				return closedIsNil(err)
			}
		}
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			handle(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		case errors.Is(err, os.ErrDeadlineExceeded):
		case transient(err):
		default:
			return closedIsNil(err)
		}
	}
}

// closedIsNil makes the end of a closed socket no error.
func closedIsNil(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// transient reports errors of a UDP socket that concern one datagram, such as a
// port that refused an earlier one.
func transient(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !errors.Is(err, net.ErrClosed)
}

// transmitter sends datagrams for a process. One that cannot be sent is logged,
// counted and treated as lost.
type transmitter struct {
	logger  *telemetry.Decisions
	metrics *telemetry.SegmentMetrics
}

// datagram sends bytes.
func (t transmitter) datagram(socket *net.UDPConn, b []byte, to netip.AddrPort) {
	if _, err := socket.WriteToUDPAddrPort(b, to); err != nil {
		t.failed(to, err)
	}
}

// message sends a control message.
func (t transmitter) message(socket *net.UDPConn, message *schema.LinkMessage, to netip.AddrPort) {
	b, err := proto.Marshal(message)
	if err != nil {
		t.failed(to, errors.Wrap(err, "encode control message"))
		return
	}
	t.datagram(socket, b, to)
}

func (t transmitter) failed(to netip.AddrPort, err error) {
	t.metrics.SendErrors.Inc()
	if t.logger.Allow(telemetry.SendFailed) {
		t.logger.Log(telemetry.SendFailed, "to", to, "error", err)
	}
}
