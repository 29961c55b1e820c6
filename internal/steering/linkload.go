package steering

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// loadSlot is the time over which received bytes are counted.
	loadSlot = 50 * time.Millisecond
	// loadKeep is the weight of the earlier slots in the mean rate, so that it
	// follows a change within a fifth of a second.
	loadKeep = 0.75
	// divertAbove is the share of the link's rate from which heavy flows go to
	// larger balancers. Callers send up to 16 segments at once, so that a link
	// loses some of them long before its mean rate is used up.
	divertAbove = 0.25
	// heavyShare is the share of the received bytes from which the flows of a
	// route are heavy: only they relieve the link.
	heavyShare = 0.25
	// segmentOverhead is the size of a segment without its data, in bytes: the
	// headers of the segment, of UDP and of IP.
	segmentOverhead = 60
)

// linkLoad measures how much of the host's link callers' segments take.
type linkLoad struct {
	// rate is the rate of the link in bytes a second; 0 if it is not known.
	rate float64
	// slot is the beginning of the present slot; now are its bytes by route.
	slot time.Duration
	now  map[segment.Endpoint]int
	// mean is the mean of the bytes a slot by route, total that of all routes.
	mean  map[segment.Endpoint]float64
	total float64
}

func newLinkLoad(rate float64) linkLoad {
	return linkLoad{rate: rate, now: make(map[segment.Endpoint]int), mean: make(map[segment.Endpoint]float64)}
}

// received counts a segment.
func (l *linkLoad) received(now time.Duration, head segment.Head, route segment.Endpoint) {
	if l.rate == 0 {
		return
	}
	if now-l.slot >= loadSlot {
		l.turn(now)
	}
	l.now[route] += head.DataLength + segmentOverhead
}

// turn ends the slot; slots without a segment count as empty ones.
func (l *linkLoad) turn(now time.Duration) {
	slots := int((now - l.slot) / loadSlot)
	empty := math.Pow(loadKeep, float64(slots-1))
	l.total *= loadKeep * empty
	for route, mean := range l.mean {
		if mean *= loadKeep * empty; mean < 1 {
			delete(l.mean, route)
		} else {
			l.mean[route] = mean
		}
	}
	for route, bytes := range l.now {
		share := (1 - loadKeep) * empty * float64(bytes)
		l.mean[route] += share
		l.total += share
	}
	clear(l.now)
	l.slot += time.Duration(slots) * loadSlot
}

// excess returns the share of new flows of a route that should go elsewhere so
// that the link is no longer overloaded; 0 if it is not.
func (l *linkLoad) excess(now time.Duration, route segment.Endpoint) float64 {
	if l.rate == 0 {
		return 0
	}
	if now-l.slot >= loadSlot {
		l.turn(now)
	}
	allowed := divertAbove * l.rate * loadSlot.Seconds()
	if l.total <= allowed || l.mean[route] <= heavyShare*l.total {
		return 0
	}
	return min(1, (l.total-allowed)/l.mean[route])
}
