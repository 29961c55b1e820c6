package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const testService = 7

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	return l
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t testing.TB) string {
	l := listen(t)
	l.Close()
	return l.Addr().String()
}

// startBackend starts a server that runs handle for every connection and returns
// its address.
func startBackend(t testing.TB, handle func(*net.TCPConn)) string {
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func echo(c *net.TCPConn) { _, _ = io.Copy(c, c) }

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// startAgent starts an agent that serves testService and returns it with its
// address. configure, if not nil, modifies the settings.
func startAgent(t testing.TB, backend string, configure func(*AgentSettings)) (*Agent, string) {
	metrics := telemetry.NewMetrics(schema.Role_AGENT, t.Name())
	settings := AgentSettings{
		Backend:        backend,
		Admit:          func(uint32, netip.AddrPort) *errkind.Error { return nil },
		Release:        func(uint32) {},
		Serves:         func(service uint32) bool { return service == testService },
		MaxConnections: 100,
		Logger:         telemetry.Discard(),
		Metrics:        metrics,
	}
	if configure != nil {
		configure(&settings)
	}
	agent := NewAgent(settings)
	l := listen(t)
	go func() { _ = agent.Serve(l) }()
	t.Cleanup(func() {
		agent.Drain(cancelled())
		metrics.Close()
	})
	return agent, l.Addr().String()
}

// startBalancer starts a balancer and returns it with its address. Its candidates
// are the agents in order, with target IDs from 1; choices counts the calls of
// Choose.
func startBalancer(t testing.TB, choices *atomic.Int32, agents ...string) (*Balancer, string) {
	metrics := telemetry.NewMetrics(schema.Role_BALANCER, t.Name())
	choose := func(_ uint32, _ netip.AddrPort, tried []uint32) (Target, *errkind.Error) {
		choices.Add(1)
		for i, address := range agents {
			if id := uint32(i + 1); !slices.Contains(tried, id) {
				return Target{ID: id, Address: address}, nil
			}
		}
		return Target{}, errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "")
	}
	b := NewBalancer(BalancerSettings{Choose: choose, MaxConnections: 100, Logger: telemetry.Discard(), Metrics: metrics})
	l := listen(t)
	go func() { _ = b.Serve(l, testService) }()
	t.Cleanup(func() {
		b.Drain(cancelled())
		metrics.Close()
	})
	return b, l.Addr().String()
}

func connect(c *qt.C, address string) *net.TCPConn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// checkEcho sends a text and checks that it is echoed.
func checkEcho(c *qt.C, conn *net.TCPConn, text string) {
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	c.Check(string(got), qt.Equals, text)
}

// Guards against a lost response after the caller has closed its sending direction.
func TestHalfClose(t *testing.T) {
	c := qt.New(t)
	backend := startBackend(t, func(conn *net.TCPConn) {
		data, _ := io.ReadAll(conn)
		_, _ = conn.Write(data)
	})
	var choices atomic.Int32
	_, agent := startAgent(t, backend, nil)
	_, address := startBalancer(t, &choices, agent)
	conn := connect(c, address)
	request := make([]byte, 1<<20)
	for i := range request {
		request[i] = byte(i % 251)
	}
	_, err := conn.Write(request)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.CloseWrite(), qt.IsNil)
	response, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Check(slices.Equal(response, request), qt.IsTrue)
}

// Guards against a drain that resets open connections or accepts new ones.
func TestDrainCutsNothing(t *testing.T) {
	c := qt.New(t)
	var choices atomic.Int32
	agent, agentAddress := startAgent(t, startBackend(t, echo), nil)
	balancer, address := startBalancer(t, &choices, agentAddress)
	conn := connect(c, address)
	checkEcho(c, conn, "before")
	results := make(chan int, 2)
	go func() { results <- balancer.Drain(context.Background()) }()
	go func() { results <- agent.Drain(context.Background()) }()
	for refused := false; !refused; {
		late, err := net.Dial("tcp", address)
		refused = err != nil
		if err == nil {
			late.Close()
		}
	}
	checkEcho(c, conn, "during")
	c.Assert(conn.CloseWrite(), qt.IsNil)
	_, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil)
	c.Check(<-results, qt.Equals, 0)
	c.Check(<-results, qt.Equals, 0)
}

// Guards against a drain that does not count the connections it resets when its
// time limit ends, and against a caller that gets an end of stream, not a reset.
func TestDrainLimit(t *testing.T) {
	c := qt.New(t)
	var choices atomic.Int32
	_, agent := startAgent(t, startBackend(t, echo), nil)
	balancer, address := startBalancer(t, &choices, agent)
	conn := connect(c, address)
	checkEcho(c, conn, "before")
	c.Check(balancer.Drain(cancelled()), qt.Equals, 1)
	_, err := io.ReadAll(conn)
	c.Check(err, qt.ErrorMatches, ".*reset.*")
}

// Guards against a refusal that reaches the caller although the next target could
// serve the connection, and against a connection to a target of another service.
func TestRefusalRetriesOnNextTarget(t *testing.T) {
	backend := startBackend(t, echo)
	agentWith := func(configure func(*AgentSettings)) func(testing.TB) string {
		return func(t testing.TB) string {
			_, address := startAgent(t, backend, configure)
			return address
		}
	}
	tests := map[string]func(testing.TB) string{
		"unreachable":    closedAddress,
		"overload":       agentWith(func(s *AgentSettings) { s.MaxConnections = 0 }),
		"wrong service":  agentWith(func(s *AgentSettings) { s.Serves = func(uint32) bool { return false } }),
		"backend down":   agentWith(func(s *AgentSettings) { s.Backend = closedAddress(t) }),
		"not admitted":   agentWith(func(s *AgentSettings) { s.Admit = refuseDeadline }),
		"agent draining": drainingAgent,
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var choices atomic.Int32
			_, second := startAgent(t, backend, nil)
			_, address := startBalancer(t, &choices, first(t), second)
			checkEcho(c, connect(c, address), "word")
			c.Check(choices.Load(), qt.Equals, int32(2))
		})
	}
}

func refuseDeadline(uint32, netip.AddrPort) *errkind.Error {
	return errkind.New(schema.ErrorKind_REFUSED_DEADLINE, "")
}

// drainingAgent returns the address of a draining agent with an open connection.
func drainingAgent(t testing.TB) string {
	c := qt.New(t)
	var choices atomic.Int32
	agent, address := startAgent(t, startBackend(t, echo), nil)
	_, balancer := startBalancer(t, &choices, address)
	checkEcho(c, connect(c, balancer), "open")
	agent.tracker.beginDrain()
	return address
}

// Guards against unlimited retries when no target is reachable, and against a
// refusal that looks like an empty response.
func TestAtMostTwoRetries(t *testing.T) {
	c := qt.New(t)
	down := closedAddress(t)
	var choices atomic.Int32
	_, address := startBalancer(t, &choices, down, down, down, down)
	// The reset can arrive before Dial returns; Dial then returns the error.
	conn, err := net.Dial("tcp", address)
	if err == nil {
		defer conn.Close()
		_, err = io.ReadAll(conn)
	}
	c.Check(err, qt.ErrorMatches, ".*reset.*")
	c.Check(choices.Load(), qt.Equals, int32(3))
}

// Guards against a truncated response that looks complete to the caller, after
// the backend server reset its connection.
func TestBackendResetReachesCaller(t *testing.T) {
	c := qt.New(t)
	backend := startBackend(t, func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, 4))
		_, _ = conn.Write([]byte("part"))
		abort(conn)
	})
	var choices atomic.Int32
	_, agent := startAgent(t, backend, nil)
	_, address := startBalancer(t, &choices, agent)
	conn := connect(c, address)
	_, err := io.WriteString(conn, "word")
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(conn)
	c.Check(err, qt.ErrorMatches, ".*reset.*")
}

// Guards against an agent that reserves memory or waits for data because of a
// preamble with an excessive length.
func TestMalformedPreamble(t *testing.T) {
	c := qt.New(t)
	_, address := startAgent(t, closedAddress(t), nil)
	conn := connect(c, address)
	_, err := conn.Write([]byte{0xff, 0xff})
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(conn)
	c.Check(err, qt.IsNil)
}
