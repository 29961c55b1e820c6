package segment

import (
	"sort"
	"time"
)

// Mark is the decoded form of the 40 bits that balancers and agents set in a segment.
type Mark struct {
	// Tag identifies the service that the balancer chose.
	Tag Tag
	// Attempt counts the targets that returned the opening before.
	Attempt uint8
	// Busy is set by an agent that refuses an opening because of its target's load.
	Busy bool
	// Search is set if the balancer is searching for the flow's owner.
	Search bool
	// Sender is the number that the agent assigned to the balancer that sent the
	// segment. A balancer sends Patience, MayWait and Cold in its place.
	Sender uint8
	// Patience is the time after which the caller no longer waits for the answer to an
	// opening, 0 if unknown. PackOpening rounds it down by up to an eighth.
	Patience time.Duration
	// MayWait is set on an opening that may wait at the agent for a free slot, within
	// its patience.
	MayWait bool
	// Cold is set on an opening whose target has a rate for its warm-up and is cold, as far
	// as the balancer knows.
	Cold bool
	// Priority is the priority of the opening's route, 0 is the highest. Priorities
	// above MaxPriority count as MaxPriority.
	Priority uint8
	// Budget is the time that is left of the latency objective of an opening; 0 if its
	// route has no objective or Late is set. Pack rounds it down by up to an eighth.
	Budget time.Duration
	// Late is set if the latency objective is over, so that the answer will be late.
	Late bool
}

const (
	maxAttempt = 0x3f
	busyBit    = 0x40
	searchBit  = 0x80
	// MaxPriority is the lowest priority that a mark can hold.
	MaxPriority   = 3
	priorityShift = 6
	// The lower bits of the high byte hold the code of the budget. A zero byte, as
	// targets write it, stands for no objective.
	noBudgetCode  = 0
	lateCode      = 1
	minBudgetCode = 2
	maxBudgetCode = 1<<priorityShift - 1
	// minBudget is the smallest budget that a code stands for, budgetStep the ratio of
	// the budgets of two successive codes.
	minBudget  = 5 * time.Millisecond
	budgetStep = 1.15
	// mayWaitBit and coldBit are set in the byte of the sender, beside the code of the
	// patience.
	mayWaitBit = 0x80
	coldBit    = 0x40
)

// budgets holds the budget of each code: 5 ms to 25 s.
var budgets = func() (b [maxBudgetCode + 1]time.Duration) {
	budget := float64(minBudget)
	for code := minBudgetCode; code <= maxBudgetCode; code++ {
		b[code] = time.Duration(budget)
		budget *= budgetStep
	}
	return b
}()

// budgetCode returns the code of the budget of the mark.
func (m Mark) budgetCode() uint8 {
	if m.Late {
		return lateCode
	}
	return timeCode(m.Budget)
}

// timeCode returns the code of the highest budget that is not above a time.
func timeCode(d time.Duration) uint8 {
	switch {
	case d == 0:
		return noBudgetCode
	case d < minBudget:
		return lateCode
	}
	above := sort.Search(len(budgets)-minBudgetCode, func(i int) bool { return budgets[minBudgetCode+i] > d })
	return uint8(minBudgetCode + above - 1)
}

// Pack encodes the mark.
func (m Mark) Pack() uint64 {
	flags := uint64(min(m.Attempt, maxAttempt))
	if m.Busy {
		flags |= busyBit
	}
	if m.Search {
		flags |= searchBit
	}
	urgency := uint64(min(m.Priority, MaxPriority))<<priorityShift | uint64(m.budgetCode())
	return urgency<<32 | uint64(m.Tag)<<16 | flags<<8 | uint64(m.Sender)
}

// PackOpening encodes the mark of an opening that a balancer sends to an agent.
func (m Mark) PackOpening() uint64 {
	m.Sender = timeCode(m.Patience)
	if m.MayWait {
		m.Sender |= mayWaitBit
	}
	if m.Cold {
		m.Sender |= coldBit
	}
	return m.Pack()
}

// UnpackOpening decodes the output of PackOpening.
func UnpackOpening(v uint64) Mark {
	m := Unpack(v)
	m.Patience, m.MayWait = budgets[m.Sender&maxBudgetCode], m.Sender&mayWaitBit != 0
	m.Cold = m.Sender&coldBit != 0
	m.Sender = 0
	return m
}

// Unpack decodes the output of Pack.
func Unpack(v uint64) Mark {
	flags, urgency := uint8(v>>8), uint8(v>>32)
	return Mark{
		Tag:      Tag(v >> 16),
		Attempt:  flags & maxAttempt,
		Busy:     flags&busyBit != 0,
		Search:   flags&searchBit != 0,
		Sender:   uint8(v),
		Priority: urgency >> priorityShift,
		Budget:   budgets[urgency&maxBudgetCode],
		Late:     urgency&maxBudgetCode == lateCode,
	}
}
