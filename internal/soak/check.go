package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
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
