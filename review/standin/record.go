package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what requesters and targets have seen, and writes it to a file.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// openAt holds the target at which a flow is open.
	openAt map[flowKey]*target
	// ranBy holds the targets that ran a request.
	ranBy map[string][]string
	sent  map[string]bool
	// counts counts lines by kind; violations holds the broken rules.
	counts     map[string]int
	violations []string
	// openings holds the openings that targets took.
	openings []openingTaken
	outcomes []outcome
}

// outcome is what became of a request on a flow of its own.
type outcome struct {
	sentAt time.Duration
	served bool
}

type openingTaken struct {
	target *target
	key    flowKey
	at     time.Duration
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f), openAt: map[flowKey]*target{}, ranBy: map[string][]string{},
		sent: map[string]bool{}, counts: map[string]int{}}, nil
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// line writes a line. The caller holds r.mu.
func (r *record) line(kind, format string, args ...any) {
	r.counts[kind]++
	fmt.Fprintf(r.out, "%9.3f %-9s %s\n", r.now().Seconds(), kind, fmt.Sprintf(format, args...))
}

func (r *record) note(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(kind, format, args...)
}

func (r *record) violation(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(rule+": "+format, args...)
	r.violations = append(r.violations, text)
	r.line("BROKEN", "%s", text)
}

func (k flowKey) String() string { return k.caller.addr().String() + ">" + k.service.addr().String() }

func (r *record) opening(t *target, key flowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openings = append(r.openings, openingTaken{t, key, r.now()})
	r.line("opening", "%s taken by target %s", key, t.id)
}

func (r *record) opened(t *target, key flowKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openAt[key] = t
	r.line("open", "%s at target %s of service %s", key, t.id, t.service)
}

func (r *record) bounced(t *target, key flowKey) {
	r.note("bounced", "%s by target %s, which does not hold it", key, t.id)
}

func (r *record) request(key flowKey, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = true
	r.line("sent", "%s on %s", id, key)
}

func (r *record) answered(key flowKey, id string, took time.Duration) {
	r.note("answered", "%s on %s after %s", id, key, took.Round(time.Millisecond))
}

func (r *record) ran(t *target, key flowKey, id string) {
	r.mu.Lock()
	r.ranBy[id] = append(r.ranBy[id], t.id)
	again, asked := len(r.ranBy[id]) > 1, r.sent[id]
	r.line("ran", "%s on %s at target %s of service %s", id, key, t.id, t.service)
	r.mu.Unlock()
	if again {
		r.violation("UNASKED", "request %s ran twice: %v", id, r.ranBy[id])
	}
	if !asked {
		r.violation("UNASKED", "target %s ran request %s, which nobody sent", t.id, id)
	}
}

// holder returns the target at which a flow is open, or nil.
func (r *record) holder(key flowKey) *target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.openAt[key]
}

func (r *record) outcome(sentAt time.Duration, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome{sentAt, served})
}

// share returns how many requests were sent in a span and how many of them were served.
func (r *record) share(from, to time.Duration) (sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.outcomes {
		if o.sentAt >= from && o.sentAt < to {
			sent++
			if o.served {
				served++
			}
		}
	}
	return sent, served
}
