package fragment

import (
	"bytes"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// ackEvery is the number of new pieces after which an acknowledgement is due.
// A quarter of the window keeps the sender from stalling.
const ackEvery = MaxWindow / 4

// Receiver assembles one body.
type Receiver struct {
	pieces [][]byte
	have   []bool
	left   int
	first  int // all pieces before it arrived
	fresh  int
}

// NewReceiver returns a receiver of a body in count pieces, or nil when the
// count is out of bounds.
func NewReceiver(count uint32) *Receiver {
	if count == 0 || count > wire.MaxFragments {
		return nil
	}
	return &Receiver{
		pieces: make([][]byte, count),
		have:   make([]bool, count),
		left:   int(count),
	}
}

// Put takes a piece. It reports whether the piece was new and whether an
// acknowledgement is due; a piece that does not fit the body is ignored.
func (r *Receiver) Put(f *schema.Fragment) (fresh, ack bool) {
	if !r.fits(f) {
		return false, false
	}
	if r.have[f.Index] {
		return false, true
	}
	r.have[f.Index] = true
	r.pieces[f.Index] = f.Data
	r.left--
	r.fresh++
	for r.first < len(r.have) && r.have[r.first] {
		r.first++
	}
	last := int(f.Index) == len(r.pieces)-1
	if r.fresh >= ackEvery || last || r.Whole() {
		r.fresh = 0
		return true, true
	}
	return true, false
}

// fits checks the piece against the layout: all pieces but the last are full.
func (r *Receiver) fits(f *schema.Fragment) bool {
	count := uint32(len(r.pieces))
	if f.Count != count || f.Index >= count {
		return false
	}
	if f.Index < count-1 {
		return len(f.Data) == wire.MaxFragment
	}
	empty := len(f.Data) == 0
	return len(f.Data) <= wire.MaxFragment && (!empty || count == 1)
}

// Whole reports whether every piece arrived.
func (r *Receiver) Whole() bool {
	return r.left == 0
}

// Missing lists the first missing pieces, at most MaxMissing.
func (r *Receiver) Missing() []uint32 {
	var out []uint32
	for i := r.first; i < len(r.have) && len(out) < MaxMissing; i++ {
		if !r.have[i] {
			out = append(out, uint32(i))
		}
	}
	return out
}

// Body returns the assembled body.
func (r *Receiver) Body() []byte {
	return bytes.Join(r.pieces, nil)
}
