package occupancy

import (
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/generations"
	"github.com/peridotstall/peridotstall/internal/segment"
)

const ms = time.Millisecond

var (
	service, _ = segment.EndpointFrom(netip.MustParseAddrPort("198.18.0.1:443"))
	mark       = segment.Mark{Tag: segment.TagOf("web")}
)

func callerAt(port uint16) segment.Endpoint {
	return segment.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}
}

func opening(port uint16) segment.Head {
	return segment.Head{Source: callerAt(port), Destination: service, Opening: true}
}

func request(port uint16) segment.Head {
	return segment.Head{Source: callerAt(port), Destination: service, DataLength: 100}
}

func fromTarget(port uint16, h segment.Head) segment.Head {
	h.Source, h.Destination = service, callerAt(port)
	return h
}

// openFlow simulates a flow up to its first request.
func openFlow(t *Tracker, now time.Duration, port uint16) {
	t.Delivered(now, opening(port), mark, 0, nil)
	t.Answered(now, fromTarget(port, segment.Head{Opening: true, Accepted: true}), Succeeded)
	t.Delivered(now, request(port), mark, 0, nil)
}

// Guards against a wrong count of pending requests.
func TestPending(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	openFlow(tr, ms, 1)
	openFlow(tr, ms, 2)
	c.Check(tr.Pending(), qt.Equals, 2)
	part := request(1)
	part.Sequence = part.DataEnd()
	tr.Delivered(2*ms, part, mark, 0, nil)
	c.Check(tr.Pending(), qt.Equals, 2, qt.Commentf("second part of a request"))
	a := tr.Answered(30*ms, fromTarget(1, segment.Head{DataLength: 500}), Succeeded)
	c.Check(a.Waited, qt.Equals, 29*ms)
	tr.Answered(31*ms, fromTarget(1, segment.Head{DataLength: 500}), Succeeded)
	c.Check(tr.Pending(), qt.Equals, 1)
	tr.Delivered(32*ms, segment.Head{Source: callerAt(2), Destination: service, Reset: true}, mark, 0, nil)
	c.Check(tr.Pending(), qt.Equals, 0)
	openFlow(tr, 40*ms, 3)
	tr.Returned(41*ms, request(3))
	c.Check(tr.Pending(), qt.Equals, 0)
	openFlow(tr, 50*ms, 4)
	tr.Tick(flowTTL)
	tr.Tick(2 * flowTTL)
	c.Check(tr.Pending(), qt.Equals, 0, qt.Commentf("expired flow"))
	c.Check(tr.Flows(), qt.Equals, 0)
}

// Guards against accepted openings that count as load without end: the caller may have
// chosen another target that accepted too (scale-1 of muzedukkan: 23 pending at 3 slots
// after the restart of all processes).
func TestUnusedOpeningsExpire(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	for port := range uint16(5) {
		tr.Delivered(ms, opening(port), mark, 0, nil)
		tr.Answered(ms, fromTarget(port, segment.Head{Opening: true, Accepted: true}), Succeeded)
	}
	c.Check(tr.Pending(), qt.Equals, 5)
	tr.Tick(ms + openingTTL - 1)
	c.Check(tr.Pending(), qt.Equals, 5)
	tr.Tick(ms + openingTTL)
	c.Check(tr.Pending(), qt.Equals, 0)
	tr.Delivered(2*openingTTL, request(2), mark, 0, nil)
	c.Check(tr.Pending(), qt.Equals, 1, qt.Commentf("the caller was late"))
}

// Guards against idle targets that refuse openings because of acceptances that no caller
// used: after a loss of power of everything copies of an opening go to several targets, all
// accept, and each of the others counted it as load for 300 ms although a round trip takes
// 7 ms.
func TestUnusedOpeningsExpireAfterRoundTrips(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetSlots(2)
	// The first flows show the round trip: 7 ms, and 20 ms for the slowest caller.
	for port := range uint16(30) {
		now, roundTrip := time.Duration(port+1)*100*ms, 7*ms
		if port%8 == 0 {
			roundTrip = 20 * ms
		}
		openOnly(tr, now, port)
		tr.Delivered(now+roundTrip, request(port), mark, 0, nil)
		answerNow(tr, now+roundTrip+30*ms, port, Succeeded)
	}
	c.Check(tr.Pending(), qt.Equals, 0)
	now := 10 * time.Second
	for port := range uint16(8) {
		openOnly(tr, now, 100+port)
	}
	c.Check(tr.Admit(now+ms, opening(200), withBudget(60*ms, 0)), qt.Equals, Busy)
	c.Check(tr.Admit(now+20*ms, opening(200), withBudget(60*ms, 0)), qt.Equals, Busy, qt.Commentf("the slowest caller may still come"))
	c.Check(tr.Pending(), qt.Equals, 8)
	c.Check(tr.Admit(now+50*ms, opening(200), withBudget(60*ms, 0)), qt.Equals, Accepted)
	c.Check(tr.Pending(), qt.Equals, 0)
}

// Guards against an expiry that does not follow callers that become slower, as they do when
// links fill.
func TestOpeningTTLFollowsRoundTrips(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	c.Check(tr.work.openingTTL(), qt.Equals, openingTTL)
	for range 20 {
		tr.work.observeRoundTrip(7 * ms)
	}
	c.Check(tr.work.openingTTL() < 50*ms, qt.IsTrue)
	tr.work.observeRoundTrip(90 * ms)
	c.Check(tr.work.openingTTL() >= 90*ms, qt.IsTrue, qt.Commentf("at once, with the first slow caller"))
	tr.work.observeRoundTrip(5 * time.Second)
	c.Check(tr.work.openingTTL(), qt.Equals, openingTTL, qt.Commentf("at most"))
	for range 500 {
		tr.work.observeRoundTrip(7 * ms)
	}
	c.Check(tr.work.openingTTL() < 50*ms, qt.IsTrue)
}

// Guards against a retransmitted request that counts as a new one and never gets an
// answer (scale-1 of muzedukkan: 27 pending at 3 slots for 10 s after a restart).
func TestRepeatedRequestIsNotPending(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	first, second := request(1), request(1)
	first.Sequence = math.MaxUint32 - 50
	second.Sequence = first.DataEnd()
	tr.Delivered(ms, opening(1), mark, 0, nil)
	tr.Answered(ms, fromTarget(1, segment.Head{Opening: true, Accepted: true}), Succeeded)
	tr.Delivered(2*ms, first, mark, 0, nil)
	tr.Answered(3*ms, fromTarget(1, segment.Head{DataLength: 5}), Succeeded)
	tr.Delivered(4*ms, first, mark, 0, nil)
	c.Check(tr.Pending(), qt.Equals, 0)
	tr.Delivered(5*ms, second, mark, 0, nil)
	c.Check(tr.Pending(), qt.Equals, 1)
}

// Guards against a mean that does not follow the load.
func TestMean(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	openFlow(tr, ms, 1)
	openFlow(tr, ms, 2)
	c.Check(math.Abs(tr.Mean(ms+meanWindow)-2*(1-1/math.E)) < 0.01, qt.IsTrue)
	c.Check(tr.Mean(10*meanWindow) > 1.99, qt.IsTrue)
}

// Guards against a segment that reaches another service after its address was
// reassigned.
func TestWrongService(t *testing.T) {
	c := qt.New(t)
	tr := New("other")
	c.Check(tr.Admit(ms, opening(1), mark), qt.Equals, WrongService)
	c.Check(tr.Admit(ms, request(1), mark), qt.Equals, WrongService)
}

// Guards against openings that a busy target takes while others have free slots, and
// against openings that no target takes.
func TestBusy(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	for port := range uint16(8) {
		openFlow(tr, ms, port)
	}
	c.Check(tr.Admit(ms, opening(9), mark), qt.Equals, Accepted, qt.Commentf("slots are not known yet"))
	tr.SetSlots(4)
	c.Check(tr.Admit(ms, opening(9), mark), qt.Equals, Busy)
	c.Check(tr.Admit(ms, request(1), mark), qt.Equals, Accepted)
	retried := mark
	retried.Attempt = maxLoadRetries
	c.Check(tr.Admit(ms, opening(9), retried), qt.Equals, Accepted)
}

// Guards against openings that go to a crashed target, and against a recovered target
// that gets none.
func TestUnresponsive(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.Delivered(ms, opening(1), mark, 0, nil)
	c.Check(tr.Unresponsive(100*ms), qt.IsFalse)
	c.Check(tr.Unresponsive(200*ms), qt.IsTrue)
	c.Check(tr.Admit(400*ms, opening(2), mark), qt.Equals, Accepted, qt.Commentf("probe"))
	c.Check(tr.Admit(401*ms, opening(3), mark), qt.Equals, Unresponsive)
	tr.Answered(402*ms, fromTarget(2, segment.Head{Opening: true, Accepted: true}), Succeeded)
	c.Check(tr.Admit(403*ms, opening(3), mark), qt.Equals, Accepted)
}

// Guards against a balancer that never gets a report of the owner of a flow.
func TestOwnerIsReported(t *testing.T) {
	c := qt.New(t)
	search := mark
	search.Search = true
	tr := New("web")
	// After a restart of the agent, the target's next segment shows that it holds the flow.
	c.Check(tr.Delivered(ms, request(1), search, 3, nil).ReportOwner, qt.IsFalse)
	a := tr.Answered(2*ms, fromTarget(1, segment.Head{}), Succeeded)
	c.Check(a.ReportOwner, qt.IsTrue)
	c.Check(a.Sender, qt.Equals, uint8(3))
	// The agent has seen the flow.
	c.Check(tr.Delivered(3*ms, request(1), search, 4, nil).ReportOwner, qt.IsTrue)
	// A target that returns a segment does not hold the flow.
	tr.Delivered(4*ms, request(2), search, 3, nil)
	tr.Returned(5*ms, request(2))
	c.Check(tr.Delivered(6*ms, request(2), search, 3, nil).ReportOwner, qt.IsFalse)
}

// Guards against reporting a target as owner although another one opened the flow, and
// against not reporting the owner.
func TestHolds(t *testing.T) {
	c := qt.New(t)
	flow := request(1).FromCaller()
	tr := New("web")
	tr.Delivered(ms, opening(1), mark, 0, nil)
	tr.Answered(ms, fromTarget(1, segment.Head{Opening: true, Accepted: true}), Succeeded)
	c.Check(tr.Holds(flow), qt.IsFalse, qt.Commentf("accepted, but the caller may have chosen another"))
	tr.Delivered(2*ms, request(1), mark, 0, nil)
	c.Check(tr.Holds(flow), qt.IsTrue)
	tr.Returned(3*ms, request(1))
	c.Check(tr.Holds(flow), qt.IsFalse)
	tr.Delivered(4*ms, request(1), mark, 0, nil)
	c.Check(tr.Holds(flow), qt.IsFalse, qt.Commentf("nothing is known after a restart"))
	tr.Answered(5*ms, fromTarget(1, segment.Head{DataLength: 3}), Succeeded)
	c.Check(tr.Holds(flow), qt.IsTrue)
	tr.Answered(6*ms, fromTarget(1, segment.Head{Reset: true}), Succeeded)
	c.Check(tr.Holds(flow), qt.IsFalse)
}

// Guards against failed requests that cannot be identified in the log.
func TestRequestIdentifiers(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.Delivered(ms, opening(1), mark, 0, nil)
	tr.Answered(ms, fromTarget(1, segment.Head{Opening: true, Accepted: true}), Succeeded)
	tr.Delivered(2*ms, request(1), mark, 0, []byte("id-1"))
	a := tr.Answered(9*ms, fromTarget(1, segment.Head{DataLength: 5}), Succeeded)
	c.Check(a.Resolved, qt.IsTrue)
	c.Check(a.Request.String(), qt.Equals, "id-1")
	next := request(1)
	next.Sequence = next.DataEnd()
	tr.Delivered(20*ms, next, mark, 0, []byte("id-2"))
	tr.Delivered(21*ms, next, mark, 0, nil)
	d := tr.Delivered(50*ms, segment.Head{Source: callerAt(1), Destination: service, Ended: true}, mark, 0, nil)
	c.Check(d.Abandoned, qt.IsTrue)
	c.Check(d.Request.String(), qt.Equals, "id-2")
	c.Check(d.Waited, qt.Equals, 30*ms)
}

// Guards against new flows on a target whose agent is shutting down.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.RefuseOpenings()
	c.Check(tr.Admit(ms, opening(1), mark), qt.Equals, Leaving)
	c.Check(tr.Admit(ms, request(1), mark), qt.Equals, Accepted)
}

// Guards against a restarted balancer that has to search for flows which it forwarded
// before, and against restoring flows that have ended or that other balancers forward.
func TestFlowsOfBalancer(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	for port := range uint16(6) {
		now := time.Duration(port+1) * ms
		tr.Delivered(now, opening(port), mark, uint8(port%2), nil)
		tr.Answered(now, fromTarget(port, segment.Head{Opening: true, Accepted: true}), Succeeded)
		tr.Delivered(now, request(port), mark, uint8(port%2), nil)
	}
	// Another balancer takes over flow 0 while the first one restarts, flow 2 ends and
	// the target returns flow 4.
	next := request(0)
	next.Sequence = next.DataEnd()
	tr.Delivered(10*ms, next, mark, 1, nil)
	tr.Answered(10*ms, fromTarget(2, segment.Head{Ended: true}), Succeeded)
	tr.Returned(10*ms, request(4))
	c.Check(tr.FlowsOf(0, 10), qt.DeepEquals, []segment.Flow{request(0).FromCaller()})
	c.Check(tr.FlowsOf(1, 10), qt.HasLen, 4, qt.Commentf("its own three and the one that it took over"))
	c.Check(tr.FlowsOf(1, 2), qt.HasLen, 2)
	c.Check(tr.FlowsOf(7, 10), qt.HasLen, 0)
}

// Guards against an agent that never again says which flows its target does not hold after
// its map was full once, and against one that says so while unrecorded flows may exist.
func TestKnowsAfterOverflow(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.flows = generations.New[segment.Flow, flowState](1)
	openFlow(tr, ms, 1)
	c.Check(tr.Knows(opening(9).FromCaller()), qt.IsFalse)
	openFlow(tr, time.Second, 2)
	c.Check(tr.Knows(opening(9).FromCaller()), qt.IsTrue)
	tr.Tick(flowTTL)
	c.Check(tr.Knows(opening(9).FromCaller()), qt.IsTrue)
	tr.Tick(time.Second + flowTTL)
	c.Check(tr.Knows(opening(9).FromCaller()), qt.IsFalse)
}

// Guards against a flow that takes over what was observed of an earlier one, because the
// caller uses the port again: its first request would count as a repetition, and the target
// as the owner of a flow that opens elsewhere.
func TestReusedPort(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	openFlow(tr, ms, 1)
	tr.Answered(30*ms, fromTarget(1, segment.Head{DataLength: 5}), Succeeded)
	tr.Answered(31*ms, fromTarget(1, segment.Head{Ended: true}), NoOutcome)
	c.Check(tr.Holds(opening(1).FromCaller()), qt.IsTrue)
	tr.Delivered(time.Second, opening(1), mark, 0, nil)
	c.Check(tr.Holds(opening(1).FromCaller()), qt.IsFalse)
	tr.Answered(time.Second, fromTarget(1, segment.Head{Opening: true, Accepted: true}), NoOutcome)
	tr.Delivered(time.Second, request(1), mark, 0, nil)
	c.Check(tr.Pending(), qt.Equals, 1)
	c.Check(tr.Answered(time.Second+9*ms, fromTarget(1, segment.Head{DataLength: 5}), Succeeded).Resolved, qt.IsTrue)
}
