package soak

import (
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/platform/standin"
)

func violatedChecks(c *checker) []string {
	var names []string
	for _, v := range c.violations {
		names = append(names, v.Check)
	}
	slices.Sort(names)
	return names
}

// Guards against checks that miss a request which was never sent, ran at the wrong
// service, ran after it was refused, or ran twice.
func TestUnexpectedRunsAreReported(t *testing.T) {
	c := qt.New(t)
	attempts := []attempt{
		{request: "good", service: "shop", once: true}, {request: "twice", service: "shop", once: true},
		{request: "often", service: "shop"}, {request: "refused", service: "shop", notRun: true},
		{request: "foreign", service: "intake"},
	}
	check := newChecker()
	check.checkRuns(attempts, "shop", sumRuns([]map[string]int{
		{"good": 1, "twice": 1, "often": 3, "refused": 1}, {"twice": 1, "foreign": 1, "unknown": 1},
	}))
	c.Check(violatedChecks(check), qt.DeepEquals, []string{"asked", "once", "refusal", "service"})
}

// Guards against a check that misses a new flow in an evacuated zone after its limit, or reports
// those before it and after the zone was taken back.
func TestFlowsInEvacuatedZonesAreReported(t *testing.T) {
	c := qt.New(t)
	after := time.Now()
	until := after.Add(time.Second)
	at := func(offsets ...time.Duration) (openings []standin.Opening) {
		for _, offset := range offsets {
			openings = append(openings, standin.Opening{Arrived: after.Add(offset)})
		}
		return openings
	}
	check := newChecker()
	check.checkEvacuated("good", "a", at(-time.Minute, 0, time.Second+1), after, until)
	c.Check(violatedChecks(check), qt.HasLen, 0)
	check.checkEvacuated("bad", "a", at(-time.Minute, 1), after, until)
	check.checkEvacuated("last", "a", at(time.Second), after, until)
	c.Check(violatedChecks(check), qt.DeepEquals, []string{"evacuated", "evacuated"})
}

// Guards against a check that counts cold targets in fixed seconds, counts openings that were
// on their way for longer, or judges targets that are warm.
func TestOpeningsOfColdTargetsAreReported(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	warm := start.Add(4 * time.Second)
	const limit = 8
	evenly := func(count int, from time.Duration, way time.Duration) (openings []span) {
		for i := range count {
			sent := start.Add(from + time.Duration(i)*900*time.Millisecond/time.Duration(count))
			openings = append(openings, span{sent, sent.Add(way)})
		}
		return openings
	}
	check := newChecker()
	check.checkWarmup("at the limit", evenly(limit, 700*time.Millisecond, time.Millisecond), warm, 2)
	check.checkWarmup("later ones", append(evenly(limit, 0, 0), evenly(limit, time.Second+1, 0)...)[:limit+1], warm, 2)
	check.checkWarmup("on their way", evenly(2*limit, 0, 600*time.Millisecond), warm, 2)
	check.checkWarmup("warm", evenly(2*limit, 4*time.Second, 0), warm, 2)
	check.checkWarmup("no openings", nil, warm, 2)
	c.Check(violatedChecks(check), qt.HasLen, 0)
	check.checkWarmup("across a second", evenly(limit+1, 700*time.Millisecond, time.Millisecond), warm, 2)
	c.Check(violatedChecks(check), qt.DeepEquals, []string{"cold"})
}

// Guards against an evacuation that leaves a service without targets, so that callers fail
// for the operator's request.
func TestEvacuationLeavesTargets(t *testing.T) {
	c := qt.New(t)
	newRun := func(zones ...string) *run {
		r := &run{checker: newChecker()}
		for i, zone := range zones {
			r.targets = append(r.targets, &target{
				service: services[i%len(services)], current: &standin.Target{Zone: zone}, agent: &process{host: standin.Host{Zone: zone}},
			})
		}
		return r
	}
	r := newRun("a", "a", "b", "a")
	c.Check(r.canEvacuate("a"), qt.IsFalse)
	c.Check(r.canEvacuate("b"), qt.IsTrue)
	zone, ok := r.zoneToEvacuate(nil)
	c.Check(ok, qt.IsTrue)
	c.Check(zone, qt.Equals, "b")
	_, ok = r.zoneToEvacuate([]*standin.Target{r.targets[0].current})
	c.Check(ok, qt.IsFalse)
	r.operator.zone = "b"
	c.Check(r.targetToDrain(services[0]), qt.IsNil)
	c.Check(r.targetToDrain(services[1]), qt.Equals, r.targets[1].current)
}

// Guards against a resource check that reads no figures and so never fails.
func TestMemoryAndDescriptorsAreChecked(t *testing.T) {
	c := qt.New(t)
	check := newChecker()
	check.checkResources("self", os.Getpid())
	c.Check(check.counts["memory"], qt.Equals, 1)
	c.Check(check.counts["descriptors"], qt.Equals, 1)
}

// Guards against proxy modes that have no effect on the connections.
func TestProxyModes(t *testing.T) {
	c := qt.New(t)
	echo, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer echo.Close()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				// The copy ends when the connection closes.
				_, _ = io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	p, err := startProxy(netip.MustParseAddrPort("127.0.0.1:0"), echo.Addr().(*net.TCPAddr).AddrPort())
	c.Assert(err, qt.IsNil)
	defer p.close()
	exchange := func(wait time.Duration) error {
		conn, err := net.Dial("tcp4", p.listener.Addr().String())
		if err != nil {
			return err
		}
		defer conn.Close()
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		c.Assert(conn.SetReadDeadline(time.Now().Add(wait)), qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		return err
	}
	c.Check(exchange(10*time.Second), qt.IsNil)
	for _, m := range []mode{silenced, deaf} {
		c.Assert(p.set(m), qt.IsNil)
		c.Check(exchange(50*time.Millisecond), qt.ErrorIs, os.ErrDeadlineExceeded, qt.Commentf(modeNames[m]))
	}
	open, err := net.Dial("tcp4", p.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer open.Close()
	c.Assert(p.set(unanswered), qt.IsNil)
	_, err = net.DialTimeout("tcp4", p.listener.Addr().String(), 50*time.Millisecond)
	var timeout net.Error
	c.Assert(err, qt.ErrorAs, &timeout)
	c.Check(timeout.Timeout(), qt.IsTrue)
	c.Assert(p.set(resetting), qt.IsNil)
	c.Check(exchange(10*time.Second), qt.IsNotNil)
	c.Assert(p.set(delayed), qt.IsNil)
	c.Check(exchange(copyDelay/3), qt.ErrorIs, os.ErrDeadlineExceeded)
	c.Assert(p.set(passing), qt.IsNil)
	c.Check(exchange(10*time.Second), qt.IsNil)
}

// Guards against goroutines that start the same target twice, or start it while
// the previous incarnation still has the address bound ("target does not start"
// with seed 4 and 25 s).
func TestTargetHasOneIncarnationAtATime(t *testing.T) {
	c := qt.New(t)
	f := &fleet{loopbackNet: byte(20 + os.Getpid()%200), store: standin.NewStore(), ports: standin.Ports{App: 23165, Outbound: 23162}}
	c.Cleanup(f.store.Close)
	r := &run{fleet: f, checker: newChecker()}
	shopTarget := &target{service: "shop", agent: &process{host: standin.Host{IP: f.address(3, 0), Zone: "a"}}}
	c.Assert(r.startTarget(shopTarget), qt.IsNil)
	for range 20 {
		old := shopTarget.currentTarget()
		var group sync.WaitGroup
		group.Go(func() {
			if shopTarget.crash(old) {
				r.restartTarget(shopTarget, old)
			}
		})
		for range 4 {
			group.Go(func() { c.Check(r.startTarget(shopTarget), qt.IsNil) })
		}
		group.Wait()
		c.Assert(shopTarget.currentTarget(), qt.Not(qt.Equals), old)
	}
	c.Check(violatedChecks(r.checker), qt.HasLen, 0)
	c.Check(shopTarget.crash(nil), qt.IsFalse)
	c.Check(shopTarget.crash(shopTarget.currentTarget()), qt.IsTrue)
}

// Guards against targets that keep their addresses after their run, or are started again by a
// restart that was scheduled before its end (seed 623 beside another soak test: "bind target
// address: address already in use").
func TestTargetsEndWithTheirRun(t *testing.T) {
	c := qt.New(t)
	f := &fleet{loopbackNet: byte(20 + os.Getpid()%200), store: standin.NewStore(), ports: standin.Ports{App: 23265, Outbound: 23262}}
	c.Cleanup(f.store.Close)
	r := &run{fleet: f, checker: newChecker()}
	shopTarget := &target{service: "shop", agent: &process{host: standin.Host{IP: f.address(3, 0), Zone: "a"}}}
	c.Assert(r.startTarget(shopTarget), qt.IsNil)
	old := shopTarget.currentTarget()
	shopTarget.close()
	r.restartTarget(shopTarget, old)
	c.Check(shopTarget.currentTarget(), qt.IsNil)
	next := &target{service: "shop", agent: shopTarget.agent}
	c.Assert(r.startTarget(next), qt.IsNil)
	next.close()
}
