package wire

// Window notes received message numbers of a session, to drop duplicates.
type Window struct {
	highest uint64
	seen    uint64 // bit i stands for highest-i
}

// Fresh reports whether a number is new; numbers that fell out of the window
// count as duplicates.
func (w *Window) Fresh(sequence uint64) bool {
	if sequence == 0 {
		return false
	}
	if sequence > w.highest {
		w.seen = w.seen<<(sequence-w.highest) | 1
		w.highest = sequence
		return true
	}
	bit := w.highest - sequence
	if bit >= 64 || w.seen&(1<<bit) != 0 {
		return false
	}
	w.seen |= 1 << bit
	return true
}

// NewWindow returns a window in which all numbers up to highest were received.
func NewWindow(highest uint64) Window {
	return Window{highest: highest, seen: ^uint64(0)}
}

// Highest returns the highest number received.
func (w *Window) Highest() uint64 {
	return w.highest
}
