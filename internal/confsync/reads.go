package confsync

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// watchWait is the time for which a watch of a reader may stay pending.
	watchWait = 30 * time.Second
	// watchGap separates the watches of a reader, for a service that answers
	// at once without news.
	watchGap = 500 * time.Millisecond
	// hostReadEvery, for each host of the list, separates the reads of the host
	// list by one reader. A host takes about 110 bytes in the published form, so
	// that a reader spends 10 KB/s on it; at 57,000 hosts it reads every 10
	// minutes, and the 45 readers of 15 zones together every 14 s.
	hostReadEvery = 11 * time.Millisecond
	// readerDelay is the time by which each rank of readers waits for the delta
	// of the rank before it, so that usually one reader of a zone reads the
	// parts. The last of 3 starts after 1 s, within the 4 s of the target.
	readerDelay = 500 * time.Millisecond
	// fleetRate is the number of calls a second that all processes together
	// make when none of them hears a peer; the service permits 2,000.
	fleetRate = 1500
	// callsPerRead is an index, a part and a host list.
	callsPerRead = 3
	// readTimeout abandons a read whose result never came.
	readTimeout = watchWait + 10*time.Second
	// Failed reads are repeated after backoffMin, doubled up to the maximum.
	// Readers are few and repeat soon; 57,000 processes that know no host list,
	// with two kinds of reads each, stay below 2,000 calls/s at 60 s.
	backoffMin       = time.Second
	backoffMaxReader = 2 * time.Second
	backoffMax       = 60 * time.Second
)

// readState is the state of one kind of read.
type readState struct {
	busy     bool
	until    time.Time
	next     time.Time
	failures int
}

// reading is the state of the reads from the configuration service.
type reading struct {
	index   readState
	hosts   readState
	pending uint64
	partsAt time.Time
	parts   readState
}

func (s *Syncer) startReads(now time.Time) {
	s.reads = reading{}
	if len(s.settings.Peers) > 0 {
		// The peers usually know the list; the service is read when they do not.
		s.reads.hosts.next = now.Add(joinRound)
	}
}

// tickReads starts the reads that are due.
func (s *Syncer) tickReads(now time.Time) []Action {
	var out []Action
	if wait, due := s.due(now, &s.reads.index, s.joinNeedsService()); due {
		out = append(out, Read{Kind: ReadIndex, After: s.Revision(), Wait: wait})
	}
	if wait, due := s.due(now, &s.reads.hosts, s.hosts == nil && !s.list.active); due {
		out = append(out, Read{Kind: ReadHosts, After: s.hosts.Version(), Wait: wait})
	}
	return append(out, s.tickParts(now)...)
}

// due reports whether a read must start: a watch of a reader, or a single read
// of a process that needs it or has heard nothing.
func (s *Syncer) due(now time.Time, r *readState, needed bool) (time.Duration, bool) {
	if r.busy && now.Before(r.until) {
		return 0, false
	}
	reader := s.readerRank() >= 0
	silent := now.Sub(s.lastHeard) > silence
	if now.Before(r.next) || !(reader || needed || silent) {
		return 0, false
	}
	r.busy = true
	r.until = now.Add(readTimeout)
	if reader && s.join.phase == joined {
		return watchWait, true
	}
	return 0, true
}

// fallbackPause spreads single reads so that a fleet in which every process
// reads stays below fleetRate.
func (s *Syncer) fallbackPause() time.Duration {
	mean := time.Duration(s.hosts.Len()) * callsPerRead * time.Second / fleetRate
	mean = max(mean, time.Second)
	return mean/2 + s.jitter(mean)
}

// readDone schedules the next read after a result. The mean pause of a reader
// is spread, so that the readers do not all wait for the same change.
func (s *Syncer) readDone(now time.Time, r *readState, mean time.Duration) {
	r.busy = false
	r.failures = 0
	if s.readerRank() >= 0 {
		r.next = now.Add(watchGap + s.jitter(2*mean+1))
		return
	}
	r.next = now.Add(s.fallbackPause())
}

// ReadFailed schedules a read again after an error of the service.
func (s *Syncer) ReadFailed(now time.Time, kind ReadKind) {
	r := &s.reads.index
	switch kind {
	case ReadHosts:
		r = &s.reads.hosts
	case ReadParts:
		r = &s.reads.parts
	}
	r.busy = false
	pause := backoffMin << min(r.failures, 6)
	r.failures++
	if s.readerRank() >= 0 {
		pause = min(pause, backoffMaxReader)
		r.next = now.Add(pause/2 + s.jitter(pause))
		return
	}
	pause = min(pause, backoffMax)
	r.next = now.Add(max(pause/2+s.jitter(pause), s.fallbackPause()))
}

// IndexRead handles an index read from the service; nil means nothing newer.
func (s *Syncer) IndexRead(now time.Time, index *schema.Index) []Action {
	s.readDone(now, &s.reads.index, 0)
	revision := index.GetRevision()
	if revision <= s.Revision() {
		s.join.byService = true
		if revision > 0 && revision < s.Revision() {
			return []Action{Rejected{Revision: revision, Decision: config.Lower, From: "configuration service"}}
		}
		return nil
	}
	if revision > s.reads.pending && revision > s.join.held.GetRevision() {
		s.reads.pending = revision
		s.reads.partsAt = now.Add(time.Duration(max(s.readerRank(), 0)) * readerDelay)
	}
	return s.tickParts(now)
}

// tickParts reads the parts of the pending index unless its revision arrived
// from a peer meanwhile.
func (s *Syncer) tickParts(now time.Time) []Action {
	r := &s.reads.parts
	if s.reads.pending <= s.Revision() || now.Before(s.reads.partsAt) || now.Before(r.next) {
		return nil
	}
	if r.busy && now.Before(r.until) {
		return nil
	}
	r.busy = true
	r.until = now.Add(readTimeout)
	return []Action{Read{Kind: ReadParts, After: s.Revision()}}
}

// ConfigRead handles a configuration assembled from the parts. A process that
// is joining keeps it until its peers have been asked.
func (s *Syncer) ConfigRead(now time.Time, c *schema.Config) []Action {
	r := &s.reads.parts
	r.busy = false
	r.failures = 0
	s.reads.pending = 0
	if s.join.phase != joined {
		s.join.held = c
		s.join.byService = true
		return nil
	}
	return s.offerConfig(now, c, sourceService, netip.AddrPort{})
}
