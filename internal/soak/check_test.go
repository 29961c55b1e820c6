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

func broken(c *checker) []string {
	var names []string
	for _, v := range c.violations {
		names = append(names, v.Check)
	}
	slices.Sort(names)
	return names
}

// Guards against checks of what ran that cannot fail.
func TestRunsAreChecked(t *testing.T) {
	c := qt.New(t)
	attempts := []attempt{
		{request: "good", service: "shop", once: true}, {request: "twice", service: "shop", once: true},
		{request: "often", service: "shop"}, {request: "refused", service: "shop", notRun: true},
		{request: "foreign", service: "intake"},
	}
	check := newChecker()
	check.runs(attempts, "shop", total([]map[string]int{
		{"good": 1, "twice": 1, "often": 3, "refused": 1}, {"twice": 1, "foreign": 1, "unknown": 1},
	}))
	c.Check(broken(check), qt.DeepEquals, []string{"asked", "once", "refusal", "service"})
}

// Guards against a look at resources that finds nothing.
func TestResourcesAreSeen(t *testing.T) {
	c := qt.New(t)
	check := newChecker()
	check.resources("self", os.Getpid())
	c.Check(check.made["memory"], qt.Equals, 1)
	c.Check(check.made["descriptors"], qt.Equals, 1)
}

// Guards against a proxy that disturbs nothing.
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
				// The copy ends with the connection.
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
		p.set(m)
		c.Check(exchange(50*time.Millisecond), qt.ErrorIs, os.ErrDeadlineExceeded, qt.Commentf(modeNames[m]))
	}
	p.set(resetting)
	c.Check(exchange(10*time.Second), qt.IsNotNil)
	p.set(delayed)
	c.Check(exchange(delay/3), qt.ErrorIs, os.ErrDeadlineExceeded)
	p.set(passing)
	c.Check(exchange(10*time.Second), qt.IsNil)
}

// Guards against two tasks that start a target at the same time, and against one
// that starts it before the earlier lifetime has left the address (seed 4 with
// 25 s: "target does not start").
func TestTargetIsStartedOnce(t *testing.T) {
	c := qt.New(t)
	f := &fleet{network: byte(20 + os.Getpid()%200), store: standin.NewStore(), ports: standin.Ports{App: 23165, Outbound: 23162}}
	c.Cleanup(f.store.Close)
	r := &run{fleet: f, checker: newChecker()}
	place := &target{service: "shop", agent: &process{host: standin.Host{IP: f.address(3, 0), Zone: "a"}}}
	c.Assert(r.revive(place), qt.IsNil)
	for range 20 {
		old := place.present()
		var group sync.WaitGroup
		group.Go(func() {
			if place.end(old) {
				r.restart(place, old)
			}
		})
		for range 4 {
			group.Go(func() { c.Check(r.revive(place), qt.IsNil) })
		}
		group.Wait()
		c.Assert(place.present(), qt.Not(qt.Equals), old)
	}
	c.Check(broken(r.checker), qt.HasLen, 0)
	c.Check(place.end(nil), qt.IsFalse)
	c.Check(place.end(place.present()), qt.IsTrue)
}
