package confsync

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// historyLimit bounds the kept changes of the host list. At 0.12 changes per
// second, 64 changes cover 9 minutes, longer than a usual partition.
const historyLimit = 64

// hostsHeaderSize is the size in bytes of the header of a HostList sent between
// peers: the version on which the list is based (0 for a full list) and the
// digest of the resulting list, 8 bytes each. The schema has no fields for them.
const hostsHeaderSize = 16

// hostChange is the difference between two versions of the host list.
type hostChange struct {
	from, to uint64
	changes  *schema.HostList
}

// HostsRead handles the result of a ReadHosts; a nil list means that the service
// has nothing newer. A lower version is ignored because the published list may be
// stale.
func (s *Syncer) HostsRead(now time.Time, list *schema.HostList) []Action {
	mean := time.Duration(len(list.GetHosts())) * readIntervalPerHost
	defer func() { s.readDone(now, &s.schedule.hosts, mean) }()
	if list == nil || list.GetVersion() <= s.hosts.Version() {
		return nil
	}
	next, err := hostlist.New(list)
	if err != nil {
		return []Action{Rejected{Revision: list.GetVersion(), Decision: config.Invalid, From: "host list of the service", Err: err}}
	}
	return s.replaceHosts(next, originService)
}

// replaceHosts puts a new host list in force and distributes the difference.
func (s *Syncer) replaceHosts(next *hostlist.Set, src origin) []Action {
	before := s.hosts
	s.hosts = next
	s.tree = nil
	if s.list.revision <= next.Version() {
		s.list.reset()
	}
	out := []Action{HostsChanged{Hosts: next}}
	if before == nil {
		return out
	}
	change := hostChange{from: before.Version(), to: next.Version(), changes: hostlist.Diff(before, next)}
	s.history = append(s.history, change)
	if len(s.history) > historyLimit {
		s.history = s.history[1:]
	}
	var frame *schema.Frame
	if data := s.encodeHosts(change.from); len(data) <= pushLimit && src != originPull {
		frame = hostsFrame(next.Version(), data)
	}
	return append(out, s.distribute(frame, src)...)
}

func hostsFrame(version uint64, data []byte) *schema.Frame {
	chunk := &schema.ConfigChunk{Content: schema.ConfigChunk_HOSTS, Revision: version, Count: 1, Data: data}
	return &schema.Frame{Hops: HopTree, Body: &schema.Frame_ConfigChunk{ConfigChunk: chunk}}
}

// encodeHosts encodes the difference from a version to the current list, or the
// full list when the version is not in the history.
func (s *Syncer) encodeHosts(from uint64) []byte {
	list, ok := s.changesFrom(from)
	if !ok {
		from = 0
		list = s.hosts.List()
	}
	data := make([]byte, hostsHeaderSize, hostsHeaderSize+proto.Size(list))
	binary.BigEndian.PutUint64(data, from)
	binary.BigEndian.PutUint64(data[8:], s.hosts.Digest())
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(data, list)
	if err != nil {
		return nil
	}
	return data
}

// changesFrom merges the changes from a version to the current one; later entries
// of a host replace earlier ones. It returns false when the version is not in the
// history.
func (s *Syncer) changesFrom(from uint64) (*schema.HostList, bool) {
	start := -1
	for i, change := range s.history {
		if change.from == from {
			start = i
		}
	}
	if start < 0 {
		return nil, false
	}
	merged := &schema.HostList{Version: s.hosts.Version()}
	at := map[string]int{}
	for _, change := range s.history[start:] {
		for _, h := range change.changes.GetHosts() {
			i, ok := at[h.GetName()]
			if !ok {
				i = len(merged.Hosts)
				at[h.GetName()] = i
				merged.Hosts = append(merged.Hosts, nil)
			}
			merged.Hosts[i] = h
		}
	}
	return merged, true
}

// receiveHosts handles a full list or a difference from a peer. The digest
// detects a difference applied to different content.
func (s *Syncer) receiveHosts(now time.Time, from netip.AddrPort, version uint64, data []byte, src origin) []Action {
	if version <= s.hosts.Version() {
		return nil
	}
	next, err := s.decodeHosts(data)
	if err == errBaseMismatch {
		return s.pull(now, &s.list, from, version)
	}
	if err != nil {
		return []Action{Rejected{Revision: version, Decision: config.Invalid, From: from.String(), Err: err}}
	}
	return s.replaceHosts(next, src)
}

var errBaseMismatch = errors.New("host list difference is based on another version")

func (s *Syncer) decodeHosts(data []byte) (*hostlist.Set, error) {
	if len(data) < hostsHeaderSize {
		return nil, errors.New("host list is truncated")
	}
	list := &schema.HostList{}
	if err := proto.Unmarshal(data[hostsHeaderSize:], list); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	base := binary.BigEndian.Uint64(data)
	var next *hostlist.Set
	var err error
	switch {
	case base == 0:
		next, err = hostlist.New(list)
	case base != s.hosts.Version():
		return nil, errBaseMismatch
	default:
		next, err = s.hosts.Apply(list)
	}
	if err != nil {
		return nil, err
	}
	if next.Digest() != binary.BigEndian.Uint64(data[8:]) {
		return nil, errors.Errorf("host list %d does not match the digest in its header", next.Version())
	}
	return next, nil
}
