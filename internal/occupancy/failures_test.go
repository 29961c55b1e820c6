package occupancy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// serve simulates requests that the target answers after 30 ms each or not at all, and
// returns the time after them.
func serve(t *Tracker, now time.Duration, port uint16, outcomes ...string) time.Duration {
	for _, outcome := range outcomes {
		port++
		t.Delivered(now, opening(port), mark, 0, nil)
		t.Answered(now, fromTarget(port, segment.Head{Opening: true, Accepted: true}), Succeeded)
		t.Delivered(now, request(port), mark, 0, []byte("id"))
		now += 30 * ms
		switch outcome {
		case "ok":
			t.Answered(now, fromTarget(port, segment.Head{DataLength: 500}), Succeeded)
		case "error":
			t.Answered(now, fromTarget(port, segment.Head{DataLength: 500}), Failed)
		case "reset":
			t.Answered(now, fromTarget(port, segment.Head{Reset: true}), Succeeded)
		case "silent":
		}
		t.Tick(now)
	}
	return now
}

// Guards against a target that fails a part of its requests while its health check
// passes, and gets as many new flows as the others (srv_grey).
func TestFailuresAreCounted(t *testing.T) {
	for _, kind := range []string{"error", "reset", "silent"} {
		t.Run(kind, func(t *testing.T) {
			c := qt.New(t)
			tr := New("web")
			tr.SetAnswerTimeout(400 * ms)
			now := serve(tr, ms, 0, "ok", "ok", "ok", "ok", "ok")
			c.Check(tr.Failing(now), qt.Equals, 0.0)
			now = serve(tr, now, 100, "ok", kind, "ok", kind, kind, "ok", kind)
			tr.Tick(now + 400*ms)
			c.Check(tr.Failing(now+400*ms) > 0.25, qt.IsTrue, qt.Commentf("%v", tr.Failing(now+400*ms)))
			c.Check(tr.Failing(now+20*time.Second) < 0.01, qt.IsTrue, qt.Commentf("decayed"))
		})
	}
}

// Guards against avoiding a target because of a single failure or late answer.
func TestSingleFailureHasLowWeight(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	now := serve(tr, ms, 0, "ok", "ok", "error", "ok")
	c.Check(tr.Failing(now) <= outcomeWeight, qt.IsTrue)
}

// Guards against counting a request of which the network lost a part as a failure of
// the target: the target cannot answer an incomplete request.
func TestIncompleteRequestIsNotCounted(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetAnswerTimeout(400 * ms)
	openFlow(tr, ms, 1)
	first := request(2)
	tr.Delivered(ms, opening(2), mark, 0, nil)
	tr.Answered(ms, fromTarget(2, segment.Head{Opening: true, Accepted: true}), Succeeded)
	tr.Delivered(ms, first, mark, 0, []byte("id"))
	second := first
	second.Sequence = first.DataEnd() + 1200
	tr.Delivered(2*ms, second, mark, 0, nil)
	tr.Tick(2 * time.Second)
	c.Check(tr.Failing(2*time.Second), qt.Equals, 0.0)
	tr.Answered(2*time.Second, fromTarget(2, segment.Head{DataLength: 500}), Failed)
	c.Check(tr.Failing(2*time.Second) > 0, qt.IsTrue, qt.Commentf("an answer that reports a failure counts"))
}

// Guards against counting one request twice: when its answer times out, and again when
// the answer reports a failure or the caller gives up.
func TestFailureCountsOnce(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetAnswerTimeout(400 * ms)
	now := serve(tr, ms, 0, "silent")
	tr.Tick(now + 400*ms)
	once := tr.Failing(now + 400*ms)
	c.Check(once > 0, qt.IsTrue)
	tr.Answered(now+400*ms, fromTarget(1, segment.Head{DataLength: 500}), Failed)
	c.Check(tr.Failing(now+400*ms), qt.Equals, once)
}
