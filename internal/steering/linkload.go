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
	// fullSegment is the number of payload bytes from which on a segment is one of many of
	// its flow, callerWindow the number of segments that a caller sends at once.
	fullSegment  = 1000
	callerWindow = 16
	// windowTime is the time for which the windows of all sending flows may fill the link.
	windowTime = 40 * time.Millisecond
	// bulkTTL is the time for which a route counts as one of large requests after it took a
	// large share of the received bytes in full segments. Between two requests its share
	// is small.
	bulkTTL = 2 * time.Second
	// sendingTTL is the time after its last full segment for which a flow counts as sending.
	sendingTTL = 100 * time.Millisecond
	// maxSending bounds the sending flows of which the load keeps account.
	maxSending = 1 << 10
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
	// route, currentFull those of full segments.
	intervalStart        time.Duration
	current, currentFull map[segment.Endpoint]int
	// meanBytes is the mean number of bytes per interval by route; meanTotal is the sum
	// over all routes.
	meanBytes map[segment.Endpoint]float64
	meanTotal float64
	// meanFull is the mean number of bytes of full segments per interval by route.
	meanFull map[segment.Endpoint]float64
	// bulkUntil is the time until which a route counts as one of large requests.
	bulkUntil map[segment.Endpoint]time.Duration
	// diverted holds the callers whose next try is not diverted, with the time of the
	// diverted one.
	diverted *generations.Map[divertedCaller, time.Duration]
	// sending holds the flows that send many segments, with the time of their last one.
	sending map[segment.Flow]time.Duration
}

func newLinkLoad(rate float64) linkLoad {
	return linkLoad{
		rate: rate, current: make(map[segment.Endpoint]int), currentFull: make(map[segment.Endpoint]int),
		meanBytes: make(map[segment.Endpoint]float64), meanFull: make(map[segment.Endpoint]float64),
		bulkUntil: make(map[segment.Endpoint]time.Duration),
		diverted:  generations.New[divertedCaller, time.Duration](maxDiverted), sending: make(map[segment.Flow]time.Duration),
	}
}

// add counts a received segment.
func (l *linkLoad) add(now time.Duration, head segment.Head, flow segment.Flow) {
	if l.rate == 0 {
		return
	}
	if now-l.intervalStart >= rateInterval {
		l.endIntervals(now)
	}
	l.current[flow.Service] += head.DataLength + segmentOverhead
	if head.DataLength >= fullSegment {
		l.currentFull[flow.Service] += head.DataLength + segmentOverhead
		l.begin(now, flow)
	}
}

// begin counts a flow as sending if its route is one of large requests.
func (l *linkLoad) begin(now time.Duration, flow segment.Flow) {
	if !l.bulk(now, flow.Service) {
		return
	}
	if _, known := l.sending[flow]; !known && len(l.sending) >= maxSending {
		if l.expire(now); len(l.sending) >= maxSending {
			return
		}
	}
	l.sending[flow] = now
}

// expire forgets flows that no longer send.
func (l *linkLoad) expire(now time.Duration) {
	for flow, at := range l.sending {
		if now-at >= sendingTTL {
			delete(l.sending, flow)
		}
	}
}

// full reports whether the windows of the sending flows fill the link, so that a further
// one of the route would lose segments, and those of other routes with its own.
func (l *linkLoad) full(now time.Duration, route segment.Endpoint) bool {
	if l.rate == 0 || !l.bulk(now, route) {
		return false
	}
	l.expire(now)
	window := float64(callerWindow * (fullSegment + segmentOverhead))
	return float64(len(l.sending)) >= max(1, math.Floor(l.rate*windowTime.Seconds()/window))
}

// bulk reports whether a route took a large share of the received bytes in full segments
// lately.
func (l *linkLoad) bulk(now time.Duration, route segment.Endpoint) bool {
	if now-l.intervalStart >= rateInterval {
		l.endIntervals(now)
	}
	return now < l.bulkUntil[route]
}

// endIntervals closes the current interval; intervals without a segment count as 0
// bytes.
func (l *linkLoad) endIntervals(now time.Duration) {
	intervals := int((now - l.intervalStart) / rateInterval)
	emptyDecay := math.Pow(rateDecay, float64(intervals-1))
	l.meanTotal *= rateDecay * emptyDecay
	for _, means := range []map[segment.Endpoint]float64{l.meanBytes, l.meanFull} {
		for route, mean := range means {
			if mean *= rateDecay * emptyDecay; mean < 1 {
				delete(means, route)
			} else {
				means[route] = mean
			}
		}
	}
	for route, bytes := range l.current {
		share := (1 - rateDecay) * emptyDecay * float64(bytes)
		l.meanBytes[route] += share
		l.meanTotal += share
	}
	for route, bytes := range l.currentFull {
		l.meanFull[route] += (1 - rateDecay) * emptyDecay * float64(bytes)
	}
	clear(l.current)
	clear(l.currentFull)
	l.intervalStart += time.Duration(intervals) * rateInterval
	for route, mean := range l.meanFull {
		if mean > heavyRouteShare*l.meanTotal {
			l.bulkUntil[route] = now + bulkTTL
		}
	}
	for route, until := range l.bulkUntil {
		if now >= until {
			delete(l.bulkUntil, route)
		}
	}
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
