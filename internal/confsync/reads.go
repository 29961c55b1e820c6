package confsync

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// watchTimeout is the time for which a watch of a reader may stay pending.
	watchTimeout = 30 * time.Second
	// watchDelay is the time between two watches of a reader. It limits the calls
	// to a service that responds at once with nothing new.
	watchDelay = 500 * time.Millisecond
	// readIntervalPerHost is the mean time between two reads of the host list by
	// one reader, per host in the list. A host takes about 110 bytes in the
	// published form, so a reader spends 10 KB/s on the list; at 57,000 hosts it
	// reads every 10 minutes, and the 45 readers of 15 zones together every 14 s.
	readIntervalPerHost = 11 * time.Millisecond
	// readerDelay is the time for which each rank of readers waits for the delta
	// of the rank before it, so that usually one reader of a zone reads the parts.
	// The last of 3 starts after 1 s, within the target of 4 s.
	readerDelay = 500 * time.Millisecond
	// fleetCallRate is the number of calls per second that all processes together
	// make when none of them receives messages from peers; the service permits
	// 2,000.
	fleetCallRate = 1500
	// callsPerRead is the number of calls of one round of reads: an index, a part
	// and a host list.
	callsPerRead = 3
	// readTimeout is the time after which a read without a result is abandoned.
	readTimeout = watchTimeout + 10*time.Second
	// Failed reads are repeated after backoffMin, doubled up to the maximum.
	// Readers are few and repeat sooner; 57,000 processes without a host list,
	// with two kinds of reads each, stay below 2,000 calls/s at 60 s.
	backoffMin       = time.Second
	backoffMaxReader = 2 * time.Second
	backoffMax       = 60 * time.Second
)

// readState is the state of one kind of read.
type readState struct {
	inFlight bool
	deadline time.Time
	nextRead time.Time
	failures int
}

// readSchedule is the state of the reads from the configuration service.
type readSchedule struct {
	index           readState
	hosts           readState
	pendingRevision uint64
	partsAt         time.Time
	parts           readState
}

func (s *Syncer) startReads(now time.Time) {
	s.schedule = readSchedule{}
	if len(s.settings.Peers) > 0 {
		// The peers usually have the list; the service is read if they do not.
		s.schedule.hosts.nextRead = now.Add(joinRoundTimeout)
	}
}

// tickReads starts the reads that are due.
func (s *Syncer) tickReads(now time.Time) []Action {
	var out []Action
	if wait, due := s.due(now, &s.schedule.index, s.joinNeedsService()); due {
		out = append(out, Read{Kind: ReadIndex, After: s.Revision(), Wait: wait})
	}
	if wait, due := s.due(now, &s.schedule.hosts, s.hosts == nil && !s.list.active); due {
		out = append(out, Read{Kind: ReadHosts, After: s.hosts.Version(), Wait: wait})
	}
	return append(out, s.tickParts(now)...)
}

// due reports whether a read must start and how long the service may hold it: a
// watch of a reader, or a single read of a process that needs it or has received
// nothing from its peers.
func (s *Syncer) due(now time.Time, r *readState, needed bool) (time.Duration, bool) {
	if r.inFlight && now.Before(r.deadline) {
		return 0, false
	}
	reader := s.readerRank() >= 0
	silent := now.Sub(s.lastReceived) > silenceTimeout
	if now.Before(r.nextRead) || !(reader || needed || silent) {
		return 0, false
	}
	r.inFlight = true
	r.deadline = now.Add(readTimeout)
	if reader && s.join.phase == joinDone {
		return watchTimeout, true
	}
	return 0, true
}

// fallbackPause returns a random pause between single reads that keeps a fleet in
// which every process reads below fleetCallRate.
func (s *Syncer) fallbackPause() time.Duration {
	mean := time.Duration(s.hosts.Len()) * callsPerRead * time.Second / fleetCallRate
	mean = max(mean, time.Second)
	return mean/2 + s.jitter(mean)
}

// readDone schedules the next read after a result. The pause of a reader is
// random around its mean, so that the readers do not all wait for the same
// change.
func (s *Syncer) readDone(now time.Time, r *readState, mean time.Duration) {
	r.inFlight = false
	r.failures = 0
	if s.readerRank() >= 0 {
		r.nextRead = now.Add(watchDelay + s.jitter(2*mean+1))
		return
	}
	r.nextRead = now.Add(s.fallbackPause())
}

// ReadFailed schedules the repetition of a read after an error of the service.
func (s *Syncer) ReadFailed(now time.Time, kind ReadKind) {
	r := &s.schedule.index
	switch kind {
	case ReadHosts:
		r = &s.schedule.hosts
	case ReadParts:
		r = &s.schedule.parts
	}
	r.inFlight = false
	pause := backoffMin << min(r.failures, 6)
	r.failures++
	if s.readerRank() >= 0 {
		pause = min(pause, backoffMaxReader)
		r.nextRead = now.Add(pause/2 + s.jitter(pause))
		return
	}
	pause = min(pause, backoffMax)
	r.nextRead = now.Add(max(pause/2+s.jitter(pause), s.fallbackPause()))
}

// IndexRead handles the result of a ReadIndex; a nil index means that the service
// has nothing newer.
func (s *Syncer) IndexRead(now time.Time, index *schema.Index) []Action {
	s.readDone(now, &s.schedule.index, 0)
	revision := index.GetRevision()
	if revision <= s.Revision() {
		s.join.serviceRead = true
		if revision > 0 && revision < s.Revision() {
			return []Action{Rejected{Revision: revision, Decision: config.Lower, From: "configuration service"}}
		}
		return nil
	}
	if revision > s.schedule.pendingRevision && revision > s.join.serviceConfig.GetRevision() {
		s.schedule.pendingRevision = revision
		s.schedule.partsAt = now.Add(time.Duration(max(s.readerRank(), 0)) * readerDelay)
	}
	return s.tickParts(now)
}

// tickParts reads the parts of the pending index unless its revision has arrived
// from a peer.
func (s *Syncer) tickParts(now time.Time) []Action {
	r := &s.schedule.parts
	if s.schedule.pendingRevision <= s.Revision() || now.Before(s.schedule.partsAt) || now.Before(r.nextRead) {
		return nil
	}
	if r.inFlight && now.Before(r.deadline) {
		return nil
	}
	r.inFlight = true
	r.deadline = now.Add(readTimeout)
	return []Action{Read{Kind: ReadParts, After: s.Revision()}}
}

// ConfigRead handles the configuration assembled by a ReadParts. A process that
// is joining keeps it until its peers have replied.
func (s *Syncer) ConfigRead(now time.Time, c *schema.Config) []Action {
	r := &s.schedule.parts
	r.inFlight = false
	r.failures = 0
	s.schedule.pendingRevision = 0
	if s.join.phase != joinDone {
		s.join.serviceConfig = c
		s.join.serviceRead = true
		return nil
	}
	return s.offerConfig(now, c, originService, netip.AddrPort{})
}
