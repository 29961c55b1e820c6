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

// historyLimit bounds the remembered changes of the host list. At 0.12 changes
// a second 64 of them cover 9 minutes, above the time of a usual partition.
const historyLimit = 64

// hostsHeader precedes an encoded HostList between peers: the version that it
// leads from (0 for a whole list) and the digest of the resulting list, 8 bytes
// each. The schema has no fields for them.
const hostsHeader = 16

// hostChange is one step between versions of the host list.
type hostChange struct {
	from, to uint64
	changes  *schema.HostList
}

// HostsRead handles a list read from the service; nil means nothing newer. A
// lower version is ignored: the published list may be stale.
func (s *Syncer) HostsRead(now time.Time, list *schema.HostList) []Action {
	mean := time.Duration(len(list.GetHosts())) * hostReadEvery
	defer func() { s.readDone(now, &s.reads.hosts, mean) }()
	if list == nil || list.GetVersion() <= s.hosts.Version() {
		return nil
	}
	next, err := hostlist.New(list)
	if err != nil {
		return []Action{Rejected{Revision: list.GetVersion(), Decision: config.Invalid, From: "host list of the service", Err: err}}
	}
	return s.replaceHosts(next, sourceService)
}

// replaceHosts puts another list in force and passes the difference on.
func (s *Syncer) replaceHosts(next *hostlist.Set, src source) []Action {
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
	step := hostChange{from: before.Version(), to: next.Version(), changes: hostlist.Diff(before, next)}
	s.history = append(s.history, step)
	if len(s.history) > historyLimit {
		s.history = s.history[1:]
	}
	var frame *schema.Frame
	if data := s.encodeHosts(step.from); len(data) <= pushLimit && src != sourcePull {
		frame = hostsFrame(next.Version(), data)
	}
	return append(out, s.spread(frame, src)...)
}

func hostsFrame(version uint64, data []byte) *schema.Frame {
	chunk := &schema.ConfigChunk{Content: schema.ConfigChunk_HOSTS, Revision: version, Count: 1, Data: data}
	return &schema.Frame{Hops: HopTree, Body: &schema.Frame_ConfigChunk{ConfigChunk: chunk}}
}

// encodeHosts encodes what leads from a version to the current list; the whole
// list when the version is not in the history.
func (s *Syncer) encodeHosts(from uint64) []byte {
	list, ok := s.changesFrom(from)
	if !ok {
		from = 0
		list = s.hosts.List()
	}
	data := make([]byte, hostsHeader, hostsHeader+proto.Size(list))
	binary.BigEndian.PutUint64(data, from)
	binary.BigEndian.PutUint64(data[8:], s.hosts.Digest())
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(data, list)
	if err != nil {
		return nil
	}
	return data
}

// changesFrom merges the steps from a version to the current one; later
// entries of a host replace earlier ones.
func (s *Syncer) changesFrom(from uint64) (*schema.HostList, bool) {
	first := -1
	for i, step := range s.history {
		if step.from == from {
			first = i
		}
	}
	if first < 0 {
		return nil, false
	}
	merged := &schema.HostList{Version: s.hosts.Version()}
	at := map[string]int{}
	for _, step := range s.history[first:] {
		for _, h := range step.changes.GetHosts() {
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

// receiveHosts handles a complete list or difference of a peer. The digest
// guards against a difference that is applied to other content.
func (s *Syncer) receiveHosts(now time.Time, from netip.AddrPort, version uint64, data []byte, src source) []Action {
	if version <= s.hosts.Version() {
		return nil
	}
	next, err := s.decodeHosts(data)
	if err == errOtherBase {
		return s.pull(now, &s.list, from, version)
	}
	if err != nil {
		return []Action{Rejected{Revision: version, Decision: config.Invalid, From: from.String(), Err: err}}
	}
	return s.replaceHosts(next, src)
}

var errOtherBase = errors.New("difference from another version of the host list")

func (s *Syncer) decodeHosts(data []byte) (*hostlist.Set, error) {
	if len(data) < hostsHeader {
		return nil, errors.New("host list is truncated")
	}
	list := &schema.HostList{}
	if err := proto.Unmarshal(data[hostsHeader:], list); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	base := binary.BigEndian.Uint64(data)
	var next *hostlist.Set
	var err error
	switch {
	case base == 0:
		next, err = hostlist.New(list)
	case base != s.hosts.Version():
		return nil, errOtherBase
	default:
		next, err = s.hosts.Apply(list)
	}
	if err != nil {
		return nil, err
	}
	if next.Digest() != binary.BigEndian.Uint64(data[8:]) {
		return nil, errors.Errorf("host list %d has another digest than stated", next.Version())
	}
	return next, nil
}
