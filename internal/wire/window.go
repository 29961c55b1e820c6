package wire

// Window records the received sequence numbers of a session to detect
// duplicates. It covers the 64 highest numbers.
type Window struct {
	highest  uint64
	received uint64 // bit i is set if highest-i was received
}

// Fresh records a sequence number and reports whether it was new. Zero and
// numbers below the window count as duplicates.
func (w *Window) Fresh(sequence uint64) bool {
	if sequence == 0 {
		return false
	}
	if sequence > w.highest {
		w.received = w.received<<(sequence-w.highest) | 1
		w.highest = sequence
		return true
	}
	bit := w.highest - sequence
	if bit >= 64 || w.received&(1<<bit) != 0 {
		return false
	}
	w.received |= 1 << bit
	return true
}

// NewWindow returns a Window in which all numbers up to highest were received.
func NewWindow(highest uint64) Window {
	return Window{highest: highest, received: ^uint64(0)}
}

// Highest returns the highest received sequence number.
func (w *Window) Highest() uint64 {
	return w.highest
}
