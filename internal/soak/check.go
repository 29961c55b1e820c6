package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peridotstall/peridotstall/platform/standin"
)

// Limits of the guarantees that the soak test checks, as the users state them.
const (
	// calmWindow is the time without a fault after which the limits apply.
	calmWindow = 4 * time.Second
	// drainTimeout is the longest time in which a draining target may still get
	// new flows.
	drainTimeout = 3 * time.Second
	// recoveryTimeout is the longest time until every service responds after the
	// last fault.
	recoveryTimeout = 12 * time.Second
	// evacuateTimeout is the longest time in which targets of an evacuated zone may still
	// get new flows.
	evacuateTimeout = 5 * time.Second
	// takenBackTimeout is the longest time until a zone that was taken back gets new flows.
	takenBackTimeout = 5 * time.Second
	// warmupOvershoot and warmupSlack are the factor of its rate and the number of openings
	// above it that a cold target may get in any second.
	warmupOvershoot, warmupSlack = 1.5, 5.0
	// memoryLimit is the memory of a process on an agent's host, in bytes.
	memoryLimit = 152 << 20
	// descriptorLimit is the number of a host's file descriptors that are left for
	// sockets.
	descriptorLimit = 3896
)

// Violation is a check that failed.
type Violation struct {
	// At is the time since the start of the run.
	At time.Duration
	// Check is the name of the check.
	Check  string
	Detail string
}

// checker collects violations and counts the runs of each check.
type checker struct {
	started time.Time

	mu         sync.Mutex
	counts     map[string]int
	violations []Violation
}

func newChecker() *checker { return &checker{started: time.Now(), counts: make(map[string]int)} }

// check counts a check and records a violation if ok is false.
func (c *checker) check(name string, ok bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
	if !ok {
		c.violations = append(c.violations, Violation{time.Since(c.started).Round(time.Millisecond), name, fmt.Sprintf(format, args...)})
	}
}

// attempt is one request of a caller.
type attempt struct {
	request, service string
	// notRun is set if the request must not have run, since its flow never opened.
	notRun bool
	// once is set if the request may run at most once.
	once bool
}

// checkRuns compares the requests that ran at a service, with the number of their
// runs, with those that the callers sent.
func (c *checker) checkRuns(attempts []attempt, service string, ran map[string]int) {
	sent := make(map[string]attempt, len(attempts))
	for _, a := range attempts {
		sent[a.request] = a
	}
	for request, count := range ran {
		a, ok := sent[request]
		c.check("asked", ok, "request %q ran at %s and was never sent", request, service)
		if !ok {
			continue
		}
		c.check("service", a.service == service, "request %q for %s ran at %s", request, a.service, service)
		c.check("refusal", !a.notRun, "request %q ran although its flow never opened", request)
		c.check("once", !a.once || count <= 1, "request %q ran %d times", request, count)
	}
}

// checkEvacuated checks that a target of an evacuated zone accepted no new flow after a time,
// up to another one.
func (c *checker) checkEvacuated(id, zone string, openings []standin.Opening, after, until time.Time) {
	count := 0
	for _, o := range openings {
		if o.Arrived.After(after) && !o.Arrived.After(until) {
			count++
		}
	}
	c.check("evacuated", count == 0, "%s accepted %d new flows although zone %s is evacuated", id, count, zone)
}

// span is the time from the sending of an opening to its arrival.
type span struct{ sent, arrived time.Time }

// checkWarmup checks that a target that is cold until a time took no more openings in any
// second than its rate permits. Openings count that were sent and arrived in that second.
func (c *checker) checkWarmup(id string, openings []span, until time.Time, rate float64) {
	most := 0
	for _, first := range openings {
		count := 0
		for _, o := range openings {
			if !o.sent.Before(first.sent) && o.arrived.Sub(first.sent) <= time.Second && o.arrived.Before(until) {
				count++
			}
		}
		most = max(most, count)
	}
	limit := rate*warmupOvershoot + warmupSlack
	c.check("cold", float64(most) <= limit, "%s accepted %d flows in a second while it was cold, at most %g", id, most, limit)
}

// sumRuns adds up the runs of each request at several targets.
func sumRuns(parts []map[string]int) map[string]int {
	sum := make(map[string]int)
	for _, part := range parts {
		for request, count := range part {
			sum[request] += count
		}
	}
	return sum
}

// checkResources checks the resident memory and the open descriptors of a process.
func (c *checker) checkResources(name string, pid int) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(statm))
	if err != nil || len(fields) < 2 {
		// The process has ended in the meantime.
		return
	}
	var pages int
	if _, err := fmt.Sscan(fields[1], &pages); err != nil {
		return
	}
	resident := pages * os.Getpagesize()
	c.check("memory", resident <= memoryLimit, "%s has %d bytes of resident memory", name, resident)
	if descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		c.check("descriptors", len(descriptors) <= descriptorLimit, "%s has %d open descriptors", name, len(descriptors))
	}
}

// names returns the sorted names of the checks that ran.
func (c *checker) names() []string {
	var names []string
	for name := range c.counts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
