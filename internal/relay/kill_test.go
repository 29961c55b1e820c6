package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Variables that make the test binary run as one process of the relay.
const (
	roleVariable = "RELAY_TEST_ROLE"
	nextVariable = "RELAY_TEST_NEXT"
)

// TestMain runs a process of the relay in place of the tests if roleVariable is set.
func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		testing.Main(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
			Name: role, F: func(t *testing.T) { serveRole(t, role, os.Getenv(nextVariable)) },
		}}, nil, nil)
	}
	os.Exit(m.Run())
}

// serveRole prints the address of an agent or a balancer and serves until it is killed.
func serveRole(t *testing.T, role, next string) {
	var address string
	if role == "agent" {
		_, address = startAgent(t, next, nil)
	} else {
		_, address = startBalancer(t, new(atomic.Int32), next)
	}
	fmt.Println("address " + address)
	select {}
}

// startProcess starts an agent or a balancer as a process of its own and returns it with
// its address.
func startProcess(c *qt.C, role, next string) (*exec.Cmd, string) {
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), roleVariable+"="+role, nextVariable+"="+next)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := process.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(process.Start(), qt.IsNil)
	c.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "address "); ok {
			go func() { _, _ = io.Copy(io.Discard, out) }()
			return process, address
		}
	}
	c.Fatalf("%s ended: %v", role, lines.Err())
	return nil, ""
}

// Guards against a response, or a request, that looks complete to the other end although
// the process that relays it was killed halfway: the kernel ends its connections in an
// orderly way.
func TestKilledProcessResetsConnections(t *testing.T) {
	for _, killed := range []string{"agent", "balancer"} {
		t.Run(killed, func(t *testing.T) {
			c := qt.New(t)
			received := make(chan error, 1)
			backend := startBackend(t, func(conn *net.TCPConn) {
				_, _ = io.ReadFull(conn, make([]byte, 4))
				_, _ = conn.Write([]byte("half"))
				_, err := io.ReadAll(conn)
				received <- err
			})
			agent, agentAddress := startProcess(c, "agent", backend)
			balancer, address := startProcess(c, "balancer", agentAddress)
			conn := connect(c, address)
			_, err := io.WriteString(conn, "word")
			c.Assert(err, qt.IsNil)
			_, err = io.ReadFull(conn, make([]byte, 4))
			c.Assert(err, qt.IsNil)
			process := map[string]*exec.Cmd{"agent": agent, "balancer": balancer}[killed]
			c.Assert(process.Process.Kill(), qt.IsNil)
			_, err = io.ReadAll(conn)
			c.Check(err, qt.ErrorMatches, ".*reset.*", qt.Commentf("caller"))
			c.Check(<-received, qt.ErrorMatches, ".*reset.*", qt.Commentf("backend server"))
		})
	}
}
