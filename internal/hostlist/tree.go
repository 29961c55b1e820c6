package hostlist

const (
	// FanOut is the number of children of a node in a distribution tree.
	FanOut = 8
	// ReadersPerZone is the number of readers in a zone: processes that read
	// the configuration service on behalf of all.
	ReadersPerZone = 3
	// Stripes is the number of distribution trees over a zone, each with a
	// different start in the order of the hosts. In a single tree only an
	// eighth of the processes has children and bears eight times the mean load.
	// With 32 stripes a node has children in four of them, so that many events
	// load all nodes equally.
	Stripes = 32
)

// Tree holds the distribution trees over the hosts of one zone that are not
// dead. Ranks 0 to 7 of a stripe are the children of the process that injects an
// item into the zone; the children of rank i are the ranks 8(i+1) to 8(i+1)+7.
type Tree struct {
	set       *Set
	positions []uint32
	self      int
}

// NewTree returns the tree over the zone of a host, as seen by that host. If the
// host is not in the set, the tree is empty.
func NewTree(s *Set, self ID, dead func(ID) bool) *Tree {
	t := &Tree{set: s, self: -1}
	at := s.ByID(self)
	if at < 0 {
		return t
	}
	for _, i := range s.byZone[s.hosts[at].Zone] {
		id := s.hosts[i].ID
		if id == self {
			t.self = len(t.positions)
		} else if dead(id) {
			continue
		}
		t.positions = append(t.positions, i)
	}
	return t
}

// ReaderRank returns the rank of the host among the readers of its zone, or -1
// if it is not a reader.
func (t *Tree) ReaderRank() int {
	if t.self >= 0 && t.self < ReadersPerZone {
		return t.self
	}
	return -1
}

// Roots returns the hosts to which a process that injects an item of a stripe
// sends it, without the host itself.
func (t *Tree) Roots(stripe int) []*Host {
	return t.ranks(stripe, 0)
}

// Children returns the hosts to which the host forwards an item of a stripe.
func (t *Tree) Children(stripe int) []*Host {
	if t.self < 0 {
		return nil
	}
	n := len(t.positions)
	rank := (t.self - t.offset(stripe) + n) % n
	return t.ranks(stripe, FanOut*(rank+1))
}

func (t *Tree) offset(stripe int) int {
	return stripe % Stripes * len(t.positions) / Stripes
}

func (t *Tree) ranks(stripe, first int) []*Host {
	n := len(t.positions)
	var out []*Host
	for rank := first; rank < first+FanOut && rank < n; rank++ {
		at := (t.offset(stripe) + rank) % n
		if at != t.self {
			out = append(out, t.set.At(int(t.positions[at])))
		}
	}
	return out
}

// Readers returns the readers of a zone: the first ReadersPerZone hosts that are
// not dead.
func (s *Set) Readers(zone int, dead func(ID) bool) []*Host {
	var out []*Host
	for _, i := range s.byZone[zone] {
		if len(out) == ReadersPerZone {
			break
		}
		if !dead(s.hosts[i].ID) {
			out = append(out, &s.hosts[i])
		}
	}
	return out
}
