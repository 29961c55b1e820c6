package agent

import (
	"hash/maphash"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/placement"
)

const (
	// maxReturnPaths limits the number of callers whose last balancer is stored.
	// Answers to other callers go through any live balancer.
	maxReturnPaths = 65536
	// returnTTL is the time for which an unused entry is kept.
	returnTTL = time.Minute
)

// returnPaths maps each caller to the balancer through which its last packet came.
type returnPaths struct {
	entries    map[placement.Key]returnPath
	nextExpiry time.Time
}

type returnPath struct {
	balancer netip.AddrPort
	lastSeen time.Time
}

func newReturnPaths() *returnPaths {
	return &returnPaths{entries: map[placement.Key]returnPath{}}
}

func (r *returnPaths) set(now time.Time, key placement.Key, balancer netip.AddrPort) {
	if _, ok := r.entries[key]; !ok && len(r.entries) >= maxReturnPaths {
		return
	}
	r.entries[key] = returnPath{balancer: balancer, lastSeen: now}
}

func (r *returnPaths) get(key placement.Key) netip.AddrPort {
	return r.entries[key].balancer
}

func (r *returnPaths) expire(now time.Time) {
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(returnTTL / 4)
	for key, e := range r.entries {
		if now.Sub(e.lastSeen) > returnTTL {
			delete(r.entries, key)
		}
	}
}

var balancerSeed = maphash.MakeSeed()

// balancerSet holds the live balancers as a list and as a set: each answer looks
// up its balancer, and a large fleet has thousands of them.
type balancerSet struct {
	list []netip.AddrPort
	set  map[netip.AddrPort]bool
}

func newBalancerSet(list []netip.AddrPort) balancerSet {
	set := make(map[netip.AddrPort]bool, len(list))
	for _, address := range list {
		set[address] = true
	}
	return balancerSet{list: list, set: set}
}

// liveBalancer returns the balancer that was used last if it is live, and a
// replacement otherwise. The replacement depends only on the address of the last
// one, so that the packets of a flow keep their order.
func (a *Agent) liveBalancer(last netip.AddrPort) netip.AddrPort {
	live := a.balancers
	if len(live.list) == 0 || live.set[last] {
		return last
	}
	return live.list[maphash.Comparable(balancerSeed, last)%uint64(len(live.list))]
}
