// Package hostlist implements the published host list in a compact immutable
// form, with a digest, differences between versions and the distribution tree
// that is derived from the order of the hosts.
package hostlist

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"

	"github.com/dchest/siphash"
	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// The key of the host hash is constant, since all processes of a fleet must
// compute the same order of the hosts. It need not be secret, since callers do
// not choose host names.
const (
	hashKey0 = 0x7065726964666f74
	hashKey1 = 0x616c6c686f737473
)

// ID is the hash of a host name. It replaces the name in packed events and
// defines the order of the hosts. The probability of any collision among 57,000
// names is below 1e-9.
type ID uint64

// IDOf returns the ID of a host name.
func IDOf(name string) ID {
	return ID(siphash.Hash(hashKey0, hashKey1, []byte(name)))
}

// Weight returns the rendezvous hash of a candidate for a task that concerns the
// subject.
func Weight(subject, candidate ID) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], uint64(subject))
	binary.LittleEndian.PutUint64(pair[8:], uint64(candidate))
	return siphash.Hash(hashKey0, hashKey1, pair[:])
}

// Host is one entry of the list.
type Host struct {
	ID    ID
	Name  string
	Addr  netip.AddrPort
	Zone  uint16
	State schema.HostState
	Role  schema.Role
}

// Set is one version of the host list, ordered by ID. It is immutable.
type Set struct {
	version uint64
	hosts   []Host
	zones   []string
	// byZone holds the positions of the hosts of each zone.
	byZone [][]uint32
	digest uint64
}

// New returns the set of a published list. It returns an error if an entry has
// no name or no valid IP address and port, or if a name appears twice.
func New(list *schema.HostList) (*Set, error) {
	s := &Set{version: list.GetVersion()}
	zones := map[string]uint16{}
	s.hosts = make([]Host, 0, len(list.GetHosts()))
	for _, entry := range list.GetHosts() {
		h, err := s.parseHost(entry, zones)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	return s.buildIndex()
}

// parseHost converts one published entry. It adds the zone of the entry to s and
// zones if it is new.
func (s *Set) parseHost(e *schema.Host, zones map[string]uint16) (Host, error) {
	addr, err := netip.ParseAddrPort(e.GetAddress())
	if err != nil || e.GetName() == "" {
		return Host{}, errors.Errorf("host %q: address %q is not an IP address and port", e.GetName(), e.GetAddress())
	}
	zone, ok := zones[e.GetZone()]
	if !ok {
		zone = uint16(len(s.zones))
		zones[e.GetZone()] = zone
		s.zones = append(s.zones, e.GetZone())
	}
	state := e.GetState()
	if state == schema.HostState_HOST_STATE_UNSPECIFIED {
		state = schema.HostState_LIVE
	}
	return Host{ID: IDOf(e.GetName()), Name: e.GetName(), Addr: addr, Zone: zone, State: state, Role: e.GetRole()}, nil
}

// buildIndex sorts the hosts and computes the positions per zone and the digest.
func (s *Set) buildIndex() (*Set, error) {
	slices.SortFunc(s.hosts, func(a, b Host) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
	s.byZone = make([][]uint32, len(s.zones))
	s.digest = 0
	for i := range s.hosts {
		h := &s.hosts[i]
		if i > 0 && s.hosts[i-1].ID == h.ID {
			return nil, errors.Errorf("host %q: name appears twice", h.Name)
		}
		s.byZone[h.Zone] = append(s.byZone[h.Zone], uint32(i))
		s.digest ^= h.digest(s.zones[h.Zone])
	}
	return s, nil
}

// digest returns the hash of all fields of the entry. The digest of the list is
// the XOR of these, so that a difference is verified without reading unchanged
// entries.
func (h *Host) digest(zone string) uint64 {
	buf := make([]byte, 0, 96)
	buf = append(buf, h.Name...)
	buf = append(buf, 0)
	buf = append(buf, zone...)
	buf = append(buf, 0, byte(h.State), byte(h.Role))
	buf = h.Addr.AppendTo(buf)
	return siphash.Hash(hashKey1, hashKey0, buf)
}

// Version returns the published version, or 0 for a nil set.
func (s *Set) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// Digest returns the digest of the entries, or 0 for a nil set.
func (s *Set) Digest() uint64 {
	if s == nil {
		return 0
	}
	return s.digest
}

// Len returns the number of hosts, or 0 for a nil set.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.hosts)
}

// At returns the host at a position in the order of IDs.
func (s *Set) At(i int) *Host { return &s.hosts[i] }

// ByID returns the position of an ID, or -1 if the set does not contain it.
func (s *Set) ByID(id ID) int {
	if s == nil {
		return -1
	}
	i := sort.Search(len(s.hosts), func(i int) bool { return s.hosts[i].ID >= id })
	if i == len(s.hosts) || s.hosts[i].ID != id {
		return -1
	}
	return i
}

// Zones returns the names of the zones, indexed by Host.Zone.
func (s *Set) Zones() []string { return s.zones }

// Zone returns the positions of the hosts of a zone in ascending order.
func (s *Set) Zone(zone int) []uint32 { return s.byZone[zone] }

// ZoneName returns the name of the zone of a host.
func (s *Set) ZoneName(h *Host) string { return s.zones[h.Zone] }

// minMeanCellSize is the minimum mean number of hosts in a cell. Cells limit the
// cost of a change of the list to one cell. A cell of fewer than 4 hosts would
// lack the three probers of a host, which does not occur at a mean of 32.
const minMeanCellSize = 32

// Cell returns the half-open range of positions of the cell that contains an ID.
// The probers of a host are chosen from its cell. Cells are equal ranges of the
// hash; their number is a power of two.
func (s *Set) Cell(id ID) (from, to int) {
	bits := 0
	for len(s.hosts)>>(bits+1) >= minMeanCellSize {
		bits++
	}
	if bits == 0 {
		return 0, len(s.hosts)
	}
	cell := uint64(id) >> (64 - bits)
	lowest := ID(cell << (64 - bits))
	from = sort.Search(len(s.hosts), func(i int) bool { return s.hosts[i].ID >= lowest })
	to = from
	for to < len(s.hosts) && uint64(s.hosts[to].ID)>>(64-bits) == cell {
		to++
	}
	return from, to
}

// List returns the set in the published form.
func (s *Set) List() *schema.HostList {
	list := &schema.HostList{Version: s.version}
	for i := range s.hosts {
		list.Hosts = append(list.Hosts, s.toSchema(&s.hosts[i]))
	}
	return list
}

func (s *Set) toSchema(h *Host) *schema.Host {
	return &schema.Host{Name: h.Name, Zone: s.zones[h.Zone], Address: h.Addr.String(), State: h.State, Role: h.Role}
}

// Diff returns the changes from one set to another. A removed host has the state
// HOST_STATE_UNSPECIFIED.
func Diff(from, to *Set) *schema.HostList {
	out := &schema.HostList{Version: to.version}
	i, j := 0, 0
	for i < from.Len() || j < to.Len() {
		switch {
		case j == to.Len() || (i < from.Len() && from.hosts[i].ID < to.hosts[j].ID):
			out.Hosts = append(out.Hosts, &schema.Host{Name: from.hosts[i].Name})
			i++
		case i == from.Len() || to.hosts[j].ID < from.hosts[i].ID:
			out.Hosts = append(out.Hosts, to.toSchema(&to.hosts[j]))
			j++
		default:
			if !sameHost(from, &from.hosts[i], to, &to.hosts[j]) {
				out.Hosts = append(out.Hosts, to.toSchema(&to.hosts[j]))
			}
			i++
			j++
		}
	}
	return out
}

func sameHost(from *Set, a *Host, to *Set, b *Host) bool {
	return a.Addr == b.Addr && a.State == b.State && a.Role == b.Role && from.zones[a.Zone] == to.zones[b.Zone]
}

// Apply returns the set that results from changes returned by Diff. It returns
// an error if a changed entry is invalid.
func (s *Set) Apply(changes *schema.HostList) (*Set, error) {
	next := &Set{version: changes.GetVersion(), zones: slices.Clone(s.zones)}
	zones := map[string]uint16{}
	for i, name := range next.zones {
		zones[name] = uint16(i)
	}
	changed := map[ID]bool{}
	next.hosts = make([]Host, 0, len(s.hosts)+len(changes.GetHosts()))
	for _, entry := range changes.GetHosts() {
		changed[IDOf(entry.GetName())] = true
		if entry.GetState() == schema.HostState_HOST_STATE_UNSPECIFIED {
			continue
		}
		h, err := next.parseHost(entry, zones)
		if err != nil {
			return nil, err
		}
		next.hosts = append(next.hosts, h)
	}
	for i := range s.hosts {
		if !changed[s.hosts[i].ID] {
			next.hosts = append(next.hosts, s.hosts[i])
		}
	}
	return next.buildIndex()
}
