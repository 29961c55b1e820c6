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
