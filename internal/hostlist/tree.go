package hostlist

const (
	// FanOut is the number of children of a node of the distribution tree.
	FanOut = 8
	// ReadersPerZone is the number of processes of a zone that read from the
	// configuration service.
	ReadersPerZone = 3
	// Stripes is the number of trees over a zone, each starting at another
	// place of the order. One tree would load the eighth of the processes that
	// has children with eight times the mean; a node has children in four of
	// 32 stripes, so that a mass of events loads all nodes alike.
	Stripes = 32
)

// Tree is the distribution order over the hosts of one zone that are not dead.
// Rank 0 to 7 of a stripe are the children of whoever injects an item into the
// zone; the children of rank i are the ranks 8(i+1) to 8(i+1)+7.
type Tree struct {
	set     *Set
	members []uint32
	self    int
}

// NewTree returns the tree over the zone of a host. A host outside the list
// has a tree without members.
func NewTree(s *Set, self ID, dead func(ID) bool) *Tree {
	t := &Tree{set: s, self: -1}
	at := s.ByID(self)
	if at < 0 {
		return t
	}
	for _, i := range s.order[s.hosts[at].Zone] {
		id := s.hosts[i].ID
		if id == self {
			t.self = len(t.members)
		} else if dead(id) {
			continue
		}
		t.members = append(t.members, i)
	}
	return t
}

// ReaderRank returns the rank of the process among the readers of its zone, or
// -1 when it is not a reader.
func (t *Tree) ReaderRank() int {
	if t.self >= 0 && t.self < ReadersPerZone {
		return t.self
	}
	return -1
}

// Roots returns the first hosts of a stripe, without the process itself.
func (t *Tree) Roots(stripe int) []*Host {
	return t.ranks(stripe, 0)
}

// Children returns the hosts to which the process passes an item of a stripe.
func (t *Tree) Children(stripe int) []*Host {
	if t.self < 0 {
		return nil
	}
	n := len(t.members)
	rank := (t.self - t.offset(stripe) + n) % n
	return t.ranks(stripe, FanOut*(rank+1))
}

func (t *Tree) offset(stripe int) int {
	return stripe % Stripes * len(t.members) / Stripes
}

func (t *Tree) ranks(stripe, first int) []*Host {
	n := len(t.members)
	var out []*Host
	for rank := first; rank < first+FanOut && rank < n; rank++ {
		at := (t.offset(stripe) + rank) % n
		if at != t.self {
			out = append(out, t.set.At(int(t.members[at])))
		}
	}
	return out
}

// Readers returns the readers of a zone that are not dead.
func (s *Set) Readers(zone int, dead func(ID) bool) []*Host {
	var out []*Host
	for _, i := range s.order[zone] {
		if len(out) == ReadersPerZone {
			break
		}
		if !dead(s.hosts[i].ID) {
			out = append(out, &s.hosts[i])
		}
	}
	return out
}
