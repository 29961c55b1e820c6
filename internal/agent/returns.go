package agent

import (
	"hash/maphash"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/placement"
)

const (
	// maxReturns bounds the callers whose last balancer is remembered. Answers
	// to others go through any live balancer.
	maxReturns = 65536
	// returnTTL is the time for which an unused entry stays.
	returnTTL = time.Minute
)

// returns remembers through which balancer the last packet of a caller came.
type returns struct {
	entries    map[placement.Key]returnEntry
	nextExpiry time.Time
}

type returnEntry struct {
	to   netip.AddrPort
	last time.Time
}

func newReturns() *returns {
	return &returns{entries: map[placement.Key]returnEntry{}}
}

func (r *returns) put(now time.Time, key placement.Key, to netip.AddrPort) {
	if _, ok := r.entries[key]; !ok && len(r.entries) >= maxReturns {
		return
	}
	r.entries[key] = returnEntry{to: to, last: now}
}

func (r *returns) get(key placement.Key) netip.AddrPort {
	return r.entries[key].to
}

func (r *returns) expire(now time.Time) {
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(returnTTL / 4)
	for key, e := range r.entries {
		if now.Sub(e.last) > returnTTL {
			delete(r.entries, key)
		}
	}
}

var balancerSeed = maphash.MakeSeed()

// balancers are the live balancers, in order and for look-up: every answer asks,
// and a large fleet has thousands of them.
type balancers struct {
	list []netip.AddrPort
	set  map[netip.AddrPort]bool
}

func newBalancers(list []netip.AddrPort) balancers {
	set := make(map[netip.AddrPort]bool, len(list))
	for _, address := range list {
		set[address] = true
	}
	return balancers{list: list, set: set}
}

// liveBalancer returns the balancer that was used last, or another one when it
// is gone. The replacement depends on the address only, so that the packets of
// one flow keep their order.
func (a *Agent) liveBalancer(last netip.AddrPort) netip.AddrPort {
	live := a.balancers
	if len(live.list) == 0 || live.set[last] {
		return last
	}
	return live.list[maphash.Comparable(balancerSeed, last)%uint64(len(live.list))]
}
