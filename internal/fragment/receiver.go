package fragment

import (
	"bytes"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// ackThreshold is the number of new fragments after which an acknowledgement is
// due. A quarter of the window prevents the sender from stalling.
const ackThreshold = MaxWindow / 4

// Receiver assembles one body from fragments.
type Receiver struct {
	fragments    [][]byte
	received     []bool
	remaining    int
	firstMissing int // every fragment before this index was received
	sinceAck     int
}

// NewReceiver returns a receiver of a body in count fragments, or nil when count
// is 0 or greater than wire.MaxFragments.
func NewReceiver(count uint32) *Receiver {
	if count == 0 || count > wire.MaxFragments {
		return nil
	}
	return &Receiver{
		fragments: make([][]byte, count),
		received:  make([]bool, count),
		remaining: int(count),
	}
}

// Add adds a fragment. It reports whether the fragment was new and whether an
// acknowledgement is due. A fragment that does not fit the layout of the body is
// ignored.
func (r *Receiver) Add(f *schema.Fragment) (fresh, ack bool) {
	if !r.fits(f) {
		return false, false
	}
	if r.received[f.Index] {
		return false, true
	}
	r.received[f.Index] = true
	r.fragments[f.Index] = f.Data
	r.remaining--
	r.sinceAck++
	for r.firstMissing < len(r.received) && r.received[r.firstMissing] {
		r.firstMissing++
	}
	last := int(f.Index) == len(r.fragments)-1
	if r.sinceAck >= ackThreshold || last || r.Complete() {
		r.sinceAck = 0
		return true, true
	}
	return true, false
}

// fits reports whether the fragment fits the layout of the body, in which every
// fragment except the last is full.
func (r *Receiver) fits(f *schema.Fragment) bool {
	count := uint32(len(r.fragments))
	if f.Count != count || f.Index >= count {
		return false
	}
	if f.Index < count-1 {
		return len(f.Data) == wire.MaxFragment
	}
	empty := len(f.Data) == 0
	return len(f.Data) <= wire.MaxFragment && (!empty || count == 1)
}

// Complete reports whether every fragment was received.
func (r *Receiver) Complete() bool {
	return r.remaining == 0
}

// Missing returns the indexes of the first missing fragments, at most MaxMissing.
func (r *Receiver) Missing() []uint32 {
	var out []uint32
	for i := r.firstMissing; i < len(r.received) && len(out) < MaxMissing; i++ {
		if !r.received[i] {
			out = append(out, uint32(i))
		}
	}
	return out
}

// Body returns the assembled body.
func (r *Receiver) Body() []byte {
	return bytes.Join(r.fragments, nil)
}
