package occupancy

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/generations"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// bodySegment is the size of the segments of an upload, uploadSegments their number.
const (
	bodySegment    = 1200
	uploadSegments = 10
)

// openOnly simulates the opening of a flow.
func openOnly(t *Tracker, now time.Duration, port uint16) {
	t.Delivered(now, opening(port), mark, 0, nil)
	t.Answered(now, fromTarget(port, segment.Head{Opening: true, Accepted: true}), NoOutcome)
}

// uploadPart returns segment i of an upload whose sequence numbers pass 2^32, and the
// identifier that it holds.
func uploadPart(port uint16, i int) (segment.Head, []byte) {
	h := segment.Head{Source: callerAt(port), Destination: service, Sequence: math.MaxUint32 - 3000 + uint32(i*bodySegment), DataLength: bodySegment}
	if i > 0 {
		return h, nil
	}
	h.RequestSize = uploadSegments * bodySegment
	return h, []byte("upload")
}

func deliverPart(t *Tracker, now time.Duration, port uint16, i int) Delivery {
	head, id := uploadPart(port, i)
	return t.Delivered(now, head, mark, 0, id)
}

func deliverUpload(t *Tracker, now time.Duration, port uint16) {
	openOnly(t, now, port)
	for i := range uploadSegments {
		deliverPart(t, now, port, i)
	}
}

func answerNow(t *Tracker, now time.Duration, port uint16, outcome Outcome) Answer {
	a := t.Answered(now, fromTarget(port, segment.Head{DataLength: 300}), outcome)
	t.Answered(now, fromTarget(port, segment.Head{Ended: true}), NoOutcome)
	return a
}

// Guards against idle targets that refuse uploads, because the time in which a body arrives
// on a slow link counts as work of the target (nagham-lessons-grown trouble-3, surge of
// uploads: more than 2,000 openings reset in four seconds, service_time up to 274 ms for
// work of 5 ms).
func TestSurgeOfUploadsOnSlowLinks(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetSlots(2)
	tr.SetAnswerTimeout(1600 * ms)
	const interval, gap, work = 10 * ms, 50 * ms, 5 * ms
	for now, port := ms, uint16(0); now < 4*time.Second; now += ms {
		if now%interval == 0 {
			c.Assert(tr.Admit(now, opening(port), withBudget(766*ms, 2)), qt.Equals, Accepted, qt.Commentf("%v, %d pending, service time %v", now, tr.Pending(), tr.ServiceTime()))
			openOnly(tr, now, port)
			port++
		}
		for p := range port {
			switch since := now - time.Duration(p+1)*interval; {
			case since%gap == 0 && since/gap < uploadSegments:
				deliverPart(tr, now, p, int(since/gap))
			case since == (uploadSegments-1)*gap+work:
				a := answerNow(tr, now, p, Succeeded)
				c.Assert(a.Waited, qt.Equals, work)
				c.Assert(a.Arrived, qt.Equals, (uploadSegments-1)*gap)
			}
		}
		tr.Tick(now)
	}
	c.Check(tr.ServiceTime() <= 2*work, qt.IsTrue, qt.Commentf("%v", tr.ServiceTime()))
	c.Check(tr.Pending() <= 2, qt.IsTrue, qt.Commentf("%d pending", tr.Pending()))
	c.Check(tr.Arriving() > 40, qt.IsTrue, qt.Commentf("%d arriving", tr.Arriving()))
}

// Guards against a request that counts as whole while a segment is missing: the time until
// the caller sends it again, 200 ms at least, would count as work of the target. Only the
// last new byte decides, in whatever order segments arrive.
func TestLostSegmentOfAnUpload(t *testing.T) {
	for _, test := range []struct {
		name  string
		order []int
	}{
		{"in order", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}},
		{"one lost", []int{0, 1, 2, 4, 5, 6, 7, 8, 9, 3}},
		{"several lost, others twice", []int{0, 2, 4, 4, 2, 6, 8, 9, 9, 7, 5, 3, 1}},
		{"last lost", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 8, 9}},
		{"reversed after the first", []int{0, 9, 8, 7, 6, 5, 4, 3, 2, 1}},
		{"first again", []int{0, 1, 2, 3, 4, 0, 5, 6, 7, 8, 9}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tr := New("web")
			tr.SetSlots(2)
			openOnly(tr, ms, 1)
			now := ms
			for i, part := range test.order {
				now += 200 * ms
				d := deliverPart(tr, now, 1, part)
				last := i == len(test.order)-1
				c.Assert(tr.Pending() == 1, qt.Equals, last, qt.Commentf("after segment %d", part))
				c.Assert(tr.Arriving() == 1, qt.Equals, !last)
				c.Assert(d.Arrived > 0, qt.Equals, last)
			}
			for part := range uploadSegments {
				deliverPart(tr, now+ms, 1, part)
			}
			c.Check(answerNow(tr, now+5*ms, 1, Succeeded).Waited, qt.Equals, 5*ms)
			c.Check(tr.ServiceTime(), qt.Equals, 5*ms)
			c.Check(tr.Pending(), qt.Equals, 0)
		})
	}
}

// Guards against a request that keeps a slot while it arrives because a later segment
// overtook its header.
func TestHeaderOvertakenByBody(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetSlots(1)
	openOnly(tr, ms, 1)
	deliverPart(tr, 2*ms, 1, 1)
	c.Check(tr.Pending(), qt.Equals, 1, qt.Commentf("size unknown"))
	openFlow(tr, 2*ms, 2)
	deliverPart(tr, 3*ms, 1, 0)
	c.Check(tr.Pending(), qt.Equals, 1, qt.Commentf("arriving; the other request runs"))
	c.Check(answerNow(tr, 13*ms, 2, Succeeded).Waited, qt.Equals, 11*ms)
	c.Check(tr.ServiceTime(), qt.Equals, 10*ms, qt.Commentf("from 3 ms on"))
	for i := 2; i < uploadSegments; i++ {
		deliverPart(tr, time.Second, 1, i)
	}
	c.Check(tr.Pending(), qt.Equals, 1)
	a := answerNow(tr, time.Second+10*ms, 1, Succeeded)
	c.Check(a.Waited, qt.Equals, 10*ms)
	c.Check(a.Request.String(), qt.Equals, "upload")
	c.Check(tr.ServiceTime(), qt.Equals, 10*ms)
}

// Guards against counting a body that takes long on a link as a failure of the target, and
// against not counting a whole request that the target does not answer.
func TestAnswerTimeoutCountsFromTheWholeRequest(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetAnswerTimeout(400 * ms)
	openOnly(tr, ms, 1)
	now := ms
	for i := range uploadSegments {
		now += 300 * ms
		deliverPart(tr, now, 1, i)
		tr.Tick(now)
	}
	c.Check(tr.Pending(), qt.Equals, 1)
	tr.Tick(now + 400*ms - 1)
	c.Check(tr.Failing(now+400*ms), qt.Equals, 0.0)
	tr.Tick(now + 400*ms)
	c.Check(tr.Failing(now+400*ms) > 0, qt.IsTrue)
	limit := pendingTimeoutFactor * 400 * ms
	tr.Tick(now + limit - 1)
	c.Check(tr.Pending(), qt.Equals, 1)
	tr.Tick(now + limit)
	c.Check(tr.Pending(), qt.Equals, 0)
}

// Guards against a request that is kept for ever because its body stops arriving.
func TestBodyThatStopsArriving(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetAnswerTimeout(400 * ms)
	limit := pendingTimeoutFactor * 400 * ms
	openOnly(tr, ms, 1)
	deliverPart(tr, ms, 1, 0)
	deliverPart(tr, limit-ms, 1, 1)
	tr.Tick(limit + ms)
	c.Check(tr.Arriving(), qt.Equals, 1, qt.Commentf("a segment came within the limit"))
	deliverPart(tr, limit+2*ms, 1, 1)
	tr.Tick(2*limit + ms)
	c.Check(tr.Arriving(), qt.Equals, 0, qt.Commentf("the last one was no new data"))
	c.Check(tr.Unfinished(), qt.Equals, 0)
	c.Check(tr.Failing(2*limit+ms), qt.Equals, 0.0)
	c.Check(tr.arrivalQueue, qt.HasLen, 0)
	deliverPart(tr, 3*limit, 1, 2)
	c.Check(tr.Pending(), qt.Equals, 1, qt.Commentf("the rest counts as a request of unknown size"))
}

// Guards against a queue of expiries that grows with each request of a flow.
func TestArrivalQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetAnswerTimeout(10 * ms)
	openOnly(tr, ms, 1)
	for round := range 1000 {
		now := time.Duration(round+1) * 5 * ms
		for i := range uploadSegments {
			head, id := uploadPart(1, i)
			head.Sequence += uint32(round * uploadSegments * bodySegment)
			tr.Delivered(now+time.Duration(i)*100*time.Microsecond, head, mark, 0, id)
		}
		tr.Answered(now+ms, fromTarget(1, segment.Head{DataLength: 300}), Succeeded)
		tr.Tick(now + 2*ms)
	}
	c.Check(len(tr.arrivalQueue) < 20, qt.IsTrue, qt.Commentf("%d", len(tr.arrivalQueue)))
	c.Check(tr.Pending()+tr.Arriving(), qt.Equals, 0)
}

// Guards against state that is left of a request whose flow ends while it arrives, and
// against taking the end for load or for work of the target.
func TestFlowEndsWhileARequestArrives(t *testing.T) {
	start := func() *Tracker {
		tr := New("web")
		tr.SetSlots(2)
		openOnly(tr, ms, 1)
		deliverPart(tr, 2*ms, 1, 0)
		deliverPart(tr, 3*ms, 1, 1)
		return tr
	}
	for _, test := range []struct {
		name string
		end  func(c *qt.C, tr *Tracker)
	}{
		{"caller gives up", func(c *qt.C, tr *Tracker) {
			d := tr.Delivered(102*ms, segment.Head{Source: callerAt(1), Destination: service, Reset: true}, mark, 0, nil)
			c.Check(d.Abandoned && d.Arriving, qt.IsTrue)
			c.Check(d.Waited, qt.Equals, 100*ms)
			c.Check(d.Request.String(), qt.Equals, "upload")
			c.Check(tr.Failing(102*ms), qt.Equals, 0.0)
		}},
		{"target returns", func(c *qt.C, tr *Tracker) { tr.Returned(102*ms, request(1)) }},
		{"target resets", func(c *qt.C, tr *Tracker) {
			tr.Answered(102*ms, fromTarget(1, segment.Head{Reset: true}), NoOutcome)
			c.Check(tr.Failing(102*ms) > 0, qt.IsTrue)
		}},
		{"target answers early", func(c *qt.C, tr *Tracker) {
			a := answerNow(tr, 102*ms, 1, Failed)
			c.Check(a.Resolved, qt.IsTrue)
			c.Check(a.Waited, qt.Equals, 100*ms)
			c.Check(tr.Failing(102*ms) > 0, qt.IsTrue)
			c.Check(tr.work.shedLimit, qt.Equals, 0, qt.Commentf("the request had not reached the queue"))
			deliverPart(tr, 103*ms, 1, 2)
			c.Check(tr.Pending(), qt.Equals, 0, qt.Commentf("the rest is no request"))
		}},
		{"flow expires", func(c *qt.C, tr *Tracker) {
			tr.Tick(flowTTL)
			tr.Tick(2 * flowTTL)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tr := start()
			test.end(c, tr)
			c.Check(tr.Unfinished(), qt.Equals, 0)
			c.Check(tr.Arriving(), qt.Equals, 0)
			c.Check(tr.ServiceTime(), qt.Equals, time.Duration(0))
		})
	}
}

// Guards against a failure when the map of flows is full.
func TestArrivalOfAnUnrecordedFlow(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.flows = generations.New[segment.Flow, flowState](1)
	openOnly(tr, ms, 1)
	deliverPart(tr, 2*ms, 1, 0)
	for port := range uint16(3) {
		tr.Tick(flowTTL)
		for i := range uploadSegments {
			deliverPart(tr, flowTTL+3*ms, port, i)
		}
		answerNow(tr, flowTTL+4*ms, port, Succeeded)
	}
	c.Check(tr.Arriving(), qt.Equals, 0)
}

// Guards against requests of unknown size that are treated as arriving.
func TestUnknownSizeCountsFromTheFirstSegment(t *testing.T) {
	for _, size := range []int{0, -1, math.MaxInt32 + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			tr := New("web")
			tr.SetSlots(2)
			tr.SetAnswerTimeout(400 * ms)
			openOnly(tr, ms, 1)
			for i := range uploadSegments {
				head, id := uploadPart(1, i)
				if id != nil {
					head.RequestSize = size
				}
				tr.Delivered(time.Duration(i+2)*10*ms, head, mark, 0, id)
				c.Check(tr.Pending(), qt.Equals, 1)
			}
			tr.Tick(time.Second)
			c.Check(tr.Failing(time.Second), qt.Equals, 0.0, qt.Commentf("a segment may be lost"))
			a := answerNow(tr, time.Second+20*ms, 1, Succeeded)
			c.Check(a.Waited, qt.Equals, time.Second)
			c.Check(a.Arrived, qt.Equals, time.Duration(0))
			c.Check(tr.ServiceTime(), qt.Equals, time.Second)
		})
	}
}

// Guards against a request beyond the bound that counts as a failure because a segment of
// it is lost.
func TestArrivalsBeyondTheBound(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetAnswerTimeout(400 * ms)
	for i := range maxArrivals {
		head, id := uploadPart(uint16(i), 0)
		tr.Delivered(ms, head, mark, 0, id)
	}
	c.Check(tr.Arriving(), qt.Equals, maxArrivals)
	deliverUpload(tr, 2*ms, 50000)
	c.Check(tr.Arriving(), qt.Equals, maxArrivals)
	c.Check(tr.Pending(), qt.Equals, 1)
	tr.Tick(time.Second)
	c.Check(tr.Failing(time.Second), qt.Equals, 0.0)
}

// Guards against a target that takes more uploads than it can serve, because none of them
// counts before it has arrived.
func TestMoreUploadsThanSlotsCanServe(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetSlots(2)
	// Uploads that arrive within 100 ms and take 50 ms: two slots serve four of them while
	// one arrives.
	for port := range uint16(20) {
		now := time.Duration(port+1) * time.Second
		openOnly(tr, now, port)
		deliverPart(tr, now, port, 0)
		for i := 1; i < uploadSegments; i++ {
			deliverPart(tr, now+100*ms, port, i)
		}
		answerNow(tr, now+150*ms, port, Succeeded)
	}
	now := time.Minute
	for port := range uint16(4) {
		openOnly(tr, now, 100+port)
		deliverPart(tr, now, 100+port, 0)
	}
	c.Check(tr.Pending(), qt.Equals, 0)
	for port := range uint16(20) {
		openOnly(tr, now, 200+port)
		deliverPart(tr, now, 200+port, 0)
	}
	c.Check(tr.Pending(), qt.Equals, 20)
	c.Check(tr.Admit(now, opening(300), withBudget(400*ms, 0)), qt.Equals, Busy)
}

// Guards against a stopping agent that cuts the requests that are arriving.
func TestArrivingRequestsAreUnfinished(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	openOnly(tr, ms, 1)
	deliverPart(tr, 2*ms, 1, 0)
	c.Check(tr.Pending(), qt.Equals, 0)
	c.Check(tr.Unfinished(), qt.Equals, 1)
}

// Guards against the worth of the mechanism that cannot be measured.
func TestWholeRequestsSwitchedOff(t *testing.T) {
	c := qt.New(t)
	policy := DefaultPolicy()
	policy.WholeRequests = false
	tr := NewWithPolicy("web", policy)
	openOnly(tr, ms, 1)
	deliverPart(tr, 2*ms, 1, 0)
	c.Check(tr.Pending(), qt.Equals, 1)
	c.Check(tr.Arriving(), qt.Equals, 0)
}

// Guards against a wrong account of what is missing of a request: parts of any size arrive
// in any order and more than once.
func TestArrivalRapid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const size = 40
		start := rapid.Uint32().Draw(rt, "start")
		a := &arrival{start: start, size: size}
		var arrived [size]bool
		for range rapid.IntRange(1, 60).Draw(rt, "segments") {
			from, length := rapid.IntRange(-5, size+5).Draw(rt, "from"), rapid.IntRange(1, 12).Draw(rt, "length")
			isNew := false
			for i := max(from, 0); i < min(from+length, size); i++ {
				isNew = isNew || !arrived[i]
				arrived[i] = true
			}
			if got := a.add(segment.Head{Sequence: start + uint32(from), DataLength: length}); got != isNew {
				rt.Fatalf("new data: %v, want %v (%+v)", got, isNew, a)
			}
			whole := true
			for _, ok := range arrived {
				whole = whole && ok
			}
			if !a.approximate && a.whole() != whole {
				rt.Fatalf("whole: %v, want %v (%+v)", a.whole(), whole, a)
			}
		}
		if a.approximate {
			rt.Fatalf("%d holes in a request of %d bytes", len(a.holes), size)
		}
	})
}
