package steering

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

var uploads = endpoint("198.18.0.2:443")

// newLoadedFixture returns a fixture with one service for uploads and one for other
// requests behind a link of 1.25 MB/s, after callers have sent uploads at a rate in
// bytes per second for the given time.
func newLoadedFixture(t *testing.T, rate float64, lasted time.Duration) *fixture {
	f := newFixture(t, 6)
	f.engine = New("z0", 1.25e6)
	f.engine.SetDivert(true)
	f.targets = append(f.targets, target(6, "store", "z0"), target(7, "store", "z0"))
	config := routes(1, "web")
	config.Routes = append(config.Routes, registry.Route{Endpoint: uploads, Shares: []registry.Share{{Service: "store", Weight: 1}}})
	f.setView(config, 1)
	f.reportIdle()
	f.upload(rate, lasted)
	return f
}

// upload simulates full segments of uploads and small ones of the other service.
func (f *fixture) upload(rate float64, lasted time.Duration) {
	const size = 1200
	interval := time.Duration(float64(time.Second) * (size + segmentOverhead) / rate)
	for end := f.now + lasted; f.now < end; f.now += interval {
		f.engine.Segment(f.now, segment.Head{Source: caller(1), Destination: uploads, DataLength: size})
		f.engine.Segment(f.now, segment.Head{Source: caller(2), Destination: shop, DataLength: 20})
	}
	f.reportIdle()
}

func uploadOpening(i int, copyNumber uint32) segment.Head {
	return segment.Head{Source: caller(i), Destination: uploads, Opening: true, Copy: copyNumber}
}

// Guards against uploads that fill the small link of one balancer while larger ones
// beside it are idle: nine of ten digests were lost on the link, along with segments of
// all services (scale-2 of ssa-subastas-grown, zone bog-norte: worth 0.82).
func TestHeavyFlowsAreDivertedFromLoadedLink(t *testing.T) {
	f := newLoadedFixture(t, 1e6, time.Second)
	diverted := 0
	for i := range 1000 {
		v := f.engine.Segment(f.now, uploadOpening(100+i, 0))
		if v.Reason == Diverted {
			f.c.Assert(v.Action, qt.Equals, Reset)
			diverted++
		}
		f.c.Assert(f.engine.Segment(f.now, opening(100+i, 0)).Reason, qt.Equals, Opened, qt.Commentf("light flows stay"))
	}
	// A load of 0.8 of the link has to fall to 0.25.
	f.c.Check(diverted > 550 && diverted < 850, qt.IsTrue, qt.Commentf("%d of 1000", diverted))
	f.now += time.Second
	f.c.Check(f.engine.Segment(f.now, uploadOpening(12, 0)).Reason, qt.Equals, Opened, qt.Commentf("the load is over"))
}

// Guards against flows that are diverted under light load, without a larger balancer,
// or although an earlier copy of their opening may have reached a target.
func TestFlowsThatAreNotDiverted(t *testing.T) {
	f := newLoadedFixture(t, 0.15e6, time.Second)
	f.c.Check(f.engine.Segment(f.now, uploadOpening(10, 0)).Reason, qt.Equals, Opened, qt.Commentf("light load"))

	f = newLoadedFixture(t, 1e6, time.Second)
	f.engine.SetDivert(false)
	for i := range 100 {
		f.c.Assert(f.engine.Segment(f.now, uploadOpening(100+i, 0)).Reason, qt.Equals, Opened, qt.Commentf("no larger balancer"))
	}
	f.engine.SetDivert(true)
	for i := range 100 {
		f.c.Assert(f.engine.Segment(f.now, uploadOpening(100+i, 0)).Reason, qt.Equals, Opened, qt.Commentf("known flow"))
		f.c.Assert(f.engine.Segment(f.now, uploadOpening(200+i, 1)).Reason, qt.Equals, Repeated)
	}

	f = newLoadedFixture(t, 1e6, 10*time.Millisecond)
	f.c.Check(f.engine.Segment(f.now, uploadOpening(10, 0)).Reason, qt.Equals, Opened, qt.Commentf("a short burst"))
}

// Guards against uploads that fail because a loaded balancer diverts each try of their
// callers: three tries are used up within some 12 ms, in which the load does not change.
func TestSurgeOfUploadsIsDivertedOnce(t *testing.T) {
	f := newLoadedFixture(t, 1.2e6, time.Second)
	diverted, failed := 0, 0
	for i := range 200 {
		tries := 0
		for ; tries < 3; tries++ {
			head := uploadOpening(100+i, 0)
			head.Source.Port = uint16(50000 + tries)
			f.now += 2 * time.Millisecond
			if f.engine.Segment(f.now, head).Reason != Diverted {
				break
			}
			diverted++
		}
		if tries == 3 {
			failed++
		}
		// The load stays.
		f.upload(1.2e6, 10*time.Millisecond)
	}
	f.c.Check(failed, qt.Equals, 0)
	f.c.Check(diverted > 100, qt.IsTrue, qt.Commentf("%d of 200 diverted", diverted))
}

// Guards against a caller that is never diverted again, and against tries of one route that
// count for another.
func TestDivertedCallerIsForgotten(t *testing.T) {
	f := newLoadedFixture(t, 1e6, time.Second)
	l := &f.engine.load
	flow := segment.Flow{Caller: caller(1), Service: uploads}
	other := segment.Flow{Caller: caller(1), Service: shop}
	f.c.Check(l.firstTry(f.now, flow), qt.IsTrue)
	f.c.Check(l.firstTry(f.now, other), qt.IsTrue)
	f.c.Check(l.firstTry(f.now, flow), qt.IsFalse)
	f.c.Check(l.firstTry(f.now, flow), qt.IsTrue, qt.Commentf("a further request"))
	f.c.Check(l.firstTry(f.now+2*divertTTL, flow), qt.IsTrue)
	for i := range 3 * maxDiverted {
		l.firstTry(f.now+2*divertTTL, segment.Flow{Caller: caller(i), Service: uploads})
	}
	f.c.Check(l.diverted.Len() <= 2*maxDiverted, qt.IsTrue)
}
