package segnode

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/reports"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// openingCodec takes every segment for an opening of one flow.
type openingCodec struct{ segment.Codec }

func (openingCodec) Parse([]byte) (segment.Head, bool) { return segment.Head{Opening: true}, true }
func (openingCodec) Forwardable([]byte, uint64)        {}
func (openingCodec) Return(b []byte, _ uint64)         { b[0] = 'R' }

// lineFixture returns an agent at which an opening waits, and the socket of its balancer.
func lineFixture(c *qt.C) (*Agent, *net.UDPConn) {
	logger, err := telemetry.NewDecisionLog(io.Discard)
	c.Assert(err, qt.IsNil)
	c.Cleanup(logger.Close)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	balancer, err := listen(anyPort)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { balancer.Close() })
	packets, err := listen(anyPort)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { packets.Close() })
	// Its tasks do not run, so that no tick returns or releases the opening.
	a := &Agent{
		options: AgentOptions{Common: Common{Codec: openingCodec{}, Logger: logger}, Service: "web"}, clock: newClock(), tracker: occupancy.New("web"),
		packets: packets, byHost: make(map[netip.Addr]uint8), reports: reports.NewSchedule(), tasks: newTasks(),
		metrics: telemetry.NewSegmentMetrics("agent/"+c.Name(), occupancy.RefusalNames()...),
	}
	a.out = transmitter{logger, a.metrics}
	a.backend.Store(&anyPort)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	sender := a.balancerIndex(now, balancer.LocalAddr().(*net.UDPAddr).AddrPort())
	c.Assert(a.wait(now, []byte("opening"), segment.Head{Opening: true}, segment.Mark{Sender: sender, Patience: time.Minute}), qt.Equals, occupancy.Waits)
	return a, balancer
}

// assertReturned waits until the balancer has got the opening back.
func assertReturned(c *qt.C, balancer *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	c.Assert(balancer.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	n, err := balancer.Read(buffer)
	c.Assert(err, qt.IsNil)
	c.Check(string(buffer[:n]), qt.Equals, "Rpening")
}

// Guards against openings that are lost with the line of a service that the agent no longer
// serves.
func TestChangedServiceReturnsTheLine(t *testing.T) {
	c := qt.New(t)
	a, balancer := lineFixture(c)
	a.Reconfigure("mail", *a.backend.Load())
	assertReturned(c, balancer)
}

// Guards against openings that are lost with the line of an agent that has no time to stop.
func TestStopReturnsTheLine(t *testing.T) {
	c := qt.New(t)
	a, balancer := lineFixture(c)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.Stop(ctx)
	assertReturned(c, balancer)
}
