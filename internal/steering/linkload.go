package steering

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/generations"
	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// rateInterval is the interval over which received bytes are summed.
	rateInterval = 50 * time.Millisecond
	// rateDecay is the weight of earlier intervals in the mean rate, so that it follows
	// a change within 0.2 s.
	rateDecay = 0.75
	// divertThreshold is the share of the link rate above which heavy flows are
	// diverted to larger balancers. Callers send up to 16 segments at once, so that a
	// link loses some of them well before its mean rate reaches capacity.
	divertThreshold = 0.25
	// heavyRouteShare is the share of received bytes above which the flows of a route
	// are heavy. Only heavy flows are diverted.
	heavyRouteShare = 0.25
	// segmentOverhead is the size of a segment without its data, in bytes: the segment,
	// UDP and IP headers.
	segmentOverhead = 60
	// divertTTL is the time after a diverted opening in which another one counts as the next
	// try of the same caller. Callers try again within some milliseconds.
	divertTTL = 100 * time.Millisecond
	// maxDiverted bounds each generation of callers whose openings were diverted.
	maxDiverted = 1 << 12
)

// divertedCaller is the host of a caller whose opening was diverted, and its route.
type divertedCaller struct {
	host  [4]byte
	route segment.Endpoint
}

// linkLoad measures the share of the host's link that callers' segments use.
type linkLoad struct {
	// rate is the link rate in bytes per second; 0 if unknown.
	rate float64
	// intervalStart is the start of the current interval; current holds its bytes by
	// route.
	intervalStart time.Duration
	current       map[segment.Endpoint]int
	// meanBytes is the mean number of bytes per interval by route; meanTotal is the sum
	// over all routes.
	meanBytes map[segment.Endpoint]float64
	meanTotal float64
	// diverted holds the callers whose next try is not diverted, with the time of the
	// diverted one.
	diverted *generations.Map[divertedCaller, time.Duration]
}

func newLinkLoad(rate float64) linkLoad {
	return linkLoad{
		rate: rate, current: make(map[segment.Endpoint]int), meanBytes: make(map[segment.Endpoint]float64),
		diverted: generations.New[divertedCaller, time.Duration](maxDiverted),
	}
}

// add counts a received segment.
func (l *linkLoad) add(now time.Duration, head segment.Head, route segment.Endpoint) {
	if l.rate == 0 {
		return
	}
	if now-l.intervalStart >= rateInterval {
		l.endIntervals(now)
	}
	l.current[route] += head.DataLength + segmentOverhead
}

// endIntervals closes the current interval; intervals without a segment count as 0
// bytes.
func (l *linkLoad) endIntervals(now time.Duration) {
	intervals := int((now - l.intervalStart) / rateInterval)
	emptyDecay := math.Pow(rateDecay, float64(intervals-1))
	l.meanTotal *= rateDecay * emptyDecay
	for route, mean := range l.meanBytes {
		if mean *= rateDecay * emptyDecay; mean < 1 {
			delete(l.meanBytes, route)
		} else {
			l.meanBytes[route] = mean
		}
	}
	for route, bytes := range l.current {
		share := (1 - rateDecay) * emptyDecay * float64(bytes)
		l.meanBytes[route] += share
		l.meanTotal += share
	}
	clear(l.current)
	l.intervalStart += time.Duration(intervals) * rateInterval
}

// excess returns the share of new flows of a route to divert so that the link load
// falls to the threshold; 0 if it does not exceed the threshold.
func (l *linkLoad) excess(now time.Duration, route segment.Endpoint) float64 {
	if l.rate == 0 {
		return 0
	}
	if now-l.intervalStart >= rateInterval {
		l.endIntervals(now)
	}
	allowed := divertThreshold * l.rate * rateInterval.Seconds()
	if l.meanTotal <= allowed || l.meanBytes[route] <= heavyRouteShare*l.meanTotal {
		return 0
	}
	return min(1, (l.meanTotal-allowed)/l.meanBytes[route])
}

// firstTry reports whether no opening of the same host and route was diverted shortly
// before this one, which is diverted then. The port of a caller's next try is another one.
func (l *linkLoad) firstTry(now time.Duration, flow segment.Flow) bool {
	l.diverted.Rotate(now, divertTTL, nil)
	caller := divertedCaller{flow.Caller.IP, flow.Service}
	if at, known := l.diverted.Get(caller); known && now-at < divertTTL {
		l.diverted.Delete(caller)
		return false
	}
	l.diverted.Put(caller, now)
	return true
}
