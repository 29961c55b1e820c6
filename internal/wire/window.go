package wire

// SequenceWindow records the received sequence numbers of a session to detect
// duplicates. It covers the 64 highest numbers.
type SequenceWindow struct {
	highest  uint64
	received uint64 // bit i is set if highest-i was received
}

// Accept records a sequence number and reports whether it was new. Zero and
// numbers below the window count as duplicates.
func (w *SequenceWindow) Accept(sequence uint64) bool {
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

// NewSequenceWindow returns a window in which all numbers up to highest count as
// received.
func NewSequenceWindow(highest uint64) SequenceWindow {
	return SequenceWindow{highest: highest, received: ^uint64(0)}
}

// Highest returns the highest received sequence number.
func (w *SequenceWindow) Highest() uint64 {
	return w.highest
}
