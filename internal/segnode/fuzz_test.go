package segnode

import (
	"io"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/reports"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

// closedTransmitter returns a transmitter and a socket that sends nothing.
func closedTransmitter(f testing.TB, metrics *telemetry.SegmentMetrics) (transmitter, *net.UDPConn) {
	logger, err := telemetry.NewDecisionLog(io.Discard)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(logger.Close)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		f.Fatal(err)
	}
	socket.Close()
	return transmitter{logger, metrics}, socket
}

// testAgent returns an agent of the service web without tasks.
func testAgent(f testing.TB, metrics *telemetry.SegmentMetrics) *Agent {
	a := &Agent{clock: newClock(), tracker: occupancy.New("web"), byHost: make(map[netip.Addr]uint8), reports: reports.NewSchedule(), metrics: metrics}
	a.out, a.link = closedTransmitter(f, metrics)
	a.options.Service, a.options.Logger = "web", a.out.logger
	a.coverage = occupancy.NewCoverage(0, 0)
	a.tracker.SetWarmup(warmup.New(0, warmup.Tolerance{}))
	backend := netip.MustParseAddrPort("127.0.0.1:80")
	a.backend.Store(&backend)
	return a
}

// controlSeeds returns a message of each kind, usual ones and ones at the ends of their ranges.
func controlSeeds(f testing.TB) (out [][]byte) {
	flow := make([]byte, segment.FlowSize)
	tag := uint32(segment.TagOf("web"))
	age := uint64(math.MaxUint64)
	id := segment.IdentityOf("web", 80)
	identity := &schema.LinkIdentity{ServiceTag: uint32(id.Tag), ServiceHash: uint32(id.Service), Port: 80}
	for _, m := range []*schema.LinkMessage{
		{Body: &schema.LinkMessage_Ping{Ping: &schema.LinkPing{Slots: 3, ServiceTag: tag, Target: &schema.LinkTarget{FlowsWanted: true, KnownMs: 9},
			Evacuation: &schema.LinkEvacuation{Epoch: 1, Revision: 1, Evacuated: true}}}},
		{Body: &schema.LinkMessage_Ping{Ping: &schema.LinkPing{Slots: math.MaxUint32, ServiceTag: math.MaxUint32, ReportIntervalMs: math.MaxUint32,
			Target: &schema.LinkTarget{KnownMs: math.MaxUint64, BornUnixMs: math.MinInt64, WarmupRateMilli: math.MaxUint64}}}},
		{Body: &schema.LinkMessage_Load{Load: &schema.LinkLoad{ServiceTag: tag, Pending: 2, Identity: identity}}},
		{Body: &schema.LinkMessage_Load{Load: &schema.LinkLoad{ServiceTag: tag, Pending: math.MaxUint32, Waiting: math.MaxUint32, MeanPendingMilli: math.MaxUint32,
			FailingMilli: math.MaxUint32, ServiceMicros: math.MaxUint32, ExcludedShares: math.MaxUint32, OpenFlows: math.MaxUint32, WarmupCredit: math.MaxUint32}}},
		{Body: &schema.LinkMessage_Owner{Owner: &schema.LinkOwner{Flow: flow, Identity: identity}}},
		{Body: &schema.LinkMessage_Waiting{Waiting: &schema.LinkWaiting{Flow: flow, Identity: identity}}},
		{Body: &schema.LinkMessage_Flows{Flows: &schema.LinkFlows{Flows: append(flow, 1), Identity: identity}}},
		{Body: &schema.LinkMessage_Denial{Denial: &schema.LinkDenial{Flow: flow}}},
		{Body: &schema.LinkMessage_Query{Query: &schema.LinkQuery{Flow: flow, Deny: true}}},
		{Body: &schema.LinkMessage_Withdrawal{Withdrawal: &schema.LinkWithdrawal{Flow: flow}}},
		{Body: &schema.LinkMessage_Digest{Digest: &schema.LinkDigest{Incarnation: 1, RoutesVersion: math.MaxUint64, TargetsEpoch: math.MaxUint64,
			ContactAgeMs: &age, Peers: []string{"10.0.0.1:7000", "x"}, Capacity: math.MaxUint32, Serving: true, Zone: "z"}}},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		out = append(out, b)
	}
	return append(out, nil, []byte{0xff})
}

// FuzzAgentControl guards against a control datagram that ends an agent or gives its target slots
// out of range.
func FuzzAgentControl(f *testing.F) {
	for _, b := range controlSeeds(f) {
		f.Add(b)
	}
	metrics := telemetry.NewSegmentMetrics("agent/fuzz-control", occupancy.RefusalNames()...)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	f.Fuzz(func(t *testing.T, b []byte) {
		a := testAgent(t, metrics)
		for range 2 {
			a.handleControl(b, from)
		}
		if len(a.balancers) > 1 {
			t.Fatalf("%d balancers from one host", len(a.balancers))
		}
	})
}

// FuzzBalancerControl guards against a control datagram that ends a balancer, or counts as a
// response of the store in the future.
func FuzzBalancerControl(f *testing.F) {
	for _, b := range controlSeeds(f) {
		f.Add(b)
	}
	metrics := telemetry.NewSegmentMetrics("balancer/fuzz-control", steering.ReasonNames()...)
	host := netip.MustParseAddr("127.0.0.3")
	table := registry.Table{Revision: 1, Targets: []registry.Target{{ID: "a", Service: "web", Address: netip.AddrPortFrom(host, 80), Slots: 1}}}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := &Balancer{clock: newClock(), metrics: metrics, registry: registry.New(), reports: make(chan flowReport, maxReports), pulling: true,
			peers: peers.New(0, peers.Self{Address: netip.MustParseAddrPort("127.0.0.1:7000")}, nil)}
		b.out, b.link = closedTransmitter(t, metrics)
		b.options.Logger = b.out.logger
		b.view.Store(steering.NewView(0, nil, registry.Routes{Version: 1, Services: []string{"web"}}, table, 7000))
		for range 2 {
			b.handleControl(data, netip.AddrPortFrom(host, 7000))
		}
		if age := b.peers.ContactAge(b.clock.now() + time.Hour); age < time.Hour {
			t.Fatalf("contact age %v after an hour", age)
		}
	})
}

// Guards against a ping whose tag wraps to that of the agent's service, one that gives a target
// more slots than any has, and a report of a share above 1.
func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	c := qt.New(t)
	metrics := telemetry.NewSegmentMetrics("agent/range-test", occupancy.RefusalNames()...)
	a := testAgent(c, metrics)
	tag, from := uint32(segment.TagOf("web")), netip.MustParseAddrPort("127.0.0.1:9")
	evacuation := &schema.LinkEvacuation{Epoch: 1, Revision: 1, Evacuated: true}
	a.handlePing(&schema.LinkPing{ServiceTag: tag + 1<<16, Slots: 3, Evacuation: evacuation}, from)
	a.handlePing(&schema.LinkPing{ServiceTag: tag, Slots: registry.MaxSlots + 1, Evacuation: evacuation}, from)
	c.Check(a.evacuation.Evacuated(), qt.IsFalse)
	c.Check(metrics.Malformed.Value(), qt.Equals, int64(2))
	a.handlePing(&schema.LinkPing{ServiceTag: tag, Slots: registry.MaxSlots, Evacuation: evacuation}, from)
	c.Check(a.evacuation.Evacuated(), qt.IsTrue)

	host := netip.MustParseAddr("127.0.0.3")
	table := registry.Table{Revision: 1, Targets: []registry.Target{{ID: "a", Service: "web", Address: netip.AddrPortFrom(host, 80), Slots: 1}}}
	b := &Balancer{clock: newClock(), metrics: telemetry.NewSegmentMetrics("balancer/range-test")}
	view := steering.NewView(0, nil, registry.Routes{Version: 1, Services: []string{"web"}}, table, 7000)
	b.view.Store(view)
	b.handleLoad(&schema.LinkLoad{ServiceTag: tag, FailingMilli: 1001}, netip.AddrPortFrom(host, 7000))
	c.Check(view.TargetOn(host).Reported(), qt.IsFalse)
	b.handleLoad(&schema.LinkLoad{ServiceTag: tag, FailingMilli: 1000}, netip.AddrPortFrom(host, 7000))
	c.Check(view.TargetOn(host).Reported(), qt.IsTrue)
}
