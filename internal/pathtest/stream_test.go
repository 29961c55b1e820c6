package pathtest

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// echoTCP starts a backend server that echoes until the caller closes its
// sending side, and returns its address.
func echoTCP(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a configured TCP service that no listener serves, against a
// relay that loses the end of a half-closed connection, and against a draining
// target that accepts new connections or cuts open ones.
func TestTCPRelayAndDrain(t *testing.T) {
	f := newFleet(t, 0, 0)
	f.backendTCP = echoTCP(f.c)
	f.addService(3, "terminal", schema.Mode_TCP)
	f.addTarget(1)
	f.addTarget(2)
	f.config.Revision++
	f.publish()
	f.addBalancer()
	address := f.addresses(3)[0].String()
	open := func() *net.TCPConn {
		conn, err := net.Dial("tcp", address)
		f.c.Assert(err, qt.IsNil)
		f.c.Cleanup(func() { conn.Close() })
		f.c.Assert(conn.SetDeadline(time.Now().Add(conditionTimeout)), qt.IsNil)
		return conn.(*net.TCPConn)
	}
	first := open()
	_, err := first.Write([]byte("one "))
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(readText(f.c, first, 4), qt.Equals, "one ")

	// Both targets drain: the open connection stays, a new one is refused.
	f.agents[0].SetDraining(true)
	f.agents[1].SetDraining(true)
	// The balancer resets the connection, which the caller may see already when
	// it dials.
	second, err := net.Dial("tcp", address)
	if err == nil {
		defer second.Close()
		f.c.Assert(second.SetDeadline(time.Now().Add(conditionTimeout)), qt.IsNil)
		var data []byte
		data, err = io.ReadAll(second)
		f.c.Check(data, qt.HasLen, 0)
	}
	f.c.Check(f.metrics[0].Errors(schema.ErrorKind_REFUSED_DRAINING)+
		f.metrics[1].Errors(schema.ErrorKind_REFUSED_DRAINING) >= 2, qt.IsTrue, qt.Commentf("%v", err))

	_, err = first.Write([]byte("two"))
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(first.CloseWrite(), qt.IsNil)
	rest, err := io.ReadAll(first)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(string(rest), qt.Equals, "two")
}

func readText(c *qt.C, conn net.Conn, n int) string {
	buf := make([]byte, n)
	_, err := io.ReadFull(conn, buf)
	c.Assert(err, qt.IsNil)
	return string(buf)
}
