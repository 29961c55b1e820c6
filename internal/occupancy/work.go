package occupancy

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// sampleWeight is the weight of a new sample in the mean service time and the mean
	// round trip time.
	sampleWeight = 0.1
	// openingRoundTrips and longestMargin are the multiples of the mean and the longest
	// round trip for which an accepted opening counts as pending before its first request.
	openingRoundTrips, longestMargin = 4, 2
	// longestDecay is the share by which a sample lowers the longest round trip.
	longestDecay = 0.02
	// shedLimitRecovery is the time in which the learnt queue limit grows by one request.
	shedLimitRecovery = time.Second
)

// work models the slots of a target: a request starts when it arrives at a free slot or
// when the slot of an earlier one becomes free. The model yields the service time, which
// includes what makes a target slow or cold, and the expected wait of a new request.
type work struct {
	// slots is the number of requests that the target runs concurrently, as published; 0
	// if unknown.
	slots int
	// running counts the requests that are expected to run.
	running int
	// waiting holds the requests that arrived while no slot was free.
	waiting flowQueue
	// service is the mean service time, roundTrip the mean time from the acceptance of an
	// opening to the first data of the caller; 0 before the first sample.
	service, roundTrip time.Duration
	// longestRoundTrip follows the longest recent round trips, up to openingTTL; 0 before the
	// first sample.
	longestRoundTrip time.Duration
	// arrival is the mean time in which requests of several segments arrive; 0 before the
	// first sample.
	arrival time.Duration
	// shedLimit is the number of pending requests at which the target shed one at
	// shedAt; 0 if it has shed none.
	shedLimit int
	shedAt    time.Duration
}

// begin returns the expected start of a request that arrives now; 0 if it has to wait.
func (w *work) begin(now time.Duration, flow segment.Flow) time.Duration {
	if w.slots > 0 && w.running >= w.slots {
		w.waiting = append(w.waiting, flowAt{flow, now})
		return 0
	}
	w.running++
	return now
}

// observe adds a sample of the service time.
func (w *work) observe(service time.Duration) { w.service = ewma(w.service, service) }

// observeRoundTrip adds a sample of the round trip time to a caller.
func (w *work) observeRoundTrip(rtt time.Duration) {
	w.roundTrip = ewma(w.roundTrip, rtt)
	w.longestRoundTrip = max(min(rtt, openingTTL), w.longestRoundTrip-time.Duration(longestDecay*float64(w.longestRoundTrip)))
}

// openingTTL returns the time for which an accepted opening counts as pending before its
// first request.
func (w *work) openingTTL() time.Duration {
	if w.roundTrip == 0 {
		return openingTTL
	}
	return min(openingTTL, max(openingRoundTrips*w.roundTrip, longestMargin*w.longestRoundTrip))
}

// observeArrival adds a sample of the time in which a request arrives.
func (w *work) observeArrival(took time.Duration) { w.arrival = ewma(w.arrival, took) }

// servedInArrival returns the number of requests that the slots serve in the time that a
// request takes to arrive. It is unlimited while the service time is unknown.
func (w *work) servedInArrival() int {
	if w.slots == 0 || w.service == 0 || w.arrival == 0 {
		return math.MaxInt
	}
	return int(float64(w.slots) * float64(w.arrival) / float64(w.service))
}

func ewma(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// observeShed records that the target shed a request while the given number of others
// was pending.
func (w *work) observeShed(now time.Duration, pending int) {
	w.shedLimit, w.shedAt = max(pending, w.slots), now
}

// sheds reports whether the target is expected to shed a request if the given number is
// pending.
func (w *work) sheds(now time.Duration, pending int) bool {
	return w.shedLimit > 0 && pending >= w.shedLimit+int((now-w.shedAt)/shedLimitRecovery)
}

// expectedWait returns the expected time until a slot is free for a request that
// arrives when the given number is pending; 0 if one is free or the service time is
// unknown.
func (w *work) expectedWait(pending int) time.Duration {
	if w.slots == 0 || pending < w.slots {
		return 0
	}
	return time.Duration(pending-w.slots+1) * w.service / time.Duration(w.slots)
}

// expectedAnswer returns the expected time to the answer of a request that arrives now;
// 0 if unknown.
func (w *work) expectedAnswer() time.Duration {
	return w.expectedWait(w.running+len(w.waiting)) + w.service
}
