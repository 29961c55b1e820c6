package udp

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a datagram that waited in the receive queue of a paused
// process and is taken for a new one.
func TestReadReportsTimeInQueue(t *testing.T) {
	c := qt.New(t)
	receiver, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer receiver.Close()
	sender, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer sender.Close()

	// Linux turns receive timestamps on in the background; until then it stamps
	// a datagram when it is read.
	for range 200 {
		if age := ageAfter(c, sender, receiver, 20*time.Millisecond); age >= 10*time.Millisecond {
			return
		}
	}
	c.Fatal("no datagram was reported as having waited")
}

// ageAfter sends a datagram, waits and returns its reported time in the queue.
func ageAfter(c *qt.C, sender, receiver *Conn, wait time.Duration) time.Duration {
	c.Assert(sender.Write([]byte("x"), receiver.Local()), qt.IsNil)
	timer := time.NewTimer(wait)
	<-timer.C
	buf := make([]byte, 16)
	n, from, age, err := receiver.Read(buf)
	c.Assert(err, qt.IsNil)
	c.Check(n, qt.Equals, 1)
	c.Check(from, qt.Equals, sender.Local())
	return age
}

// Guards against an address that is reported without its cause.
func TestListenNamesTheAddress(t *testing.T) {
	c := qt.New(t)
	first, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer first.Close()
	_, err = Listen(first.Local().String())
	c.Check(err, qt.ErrorMatches, "bind UDP address 127.0.0.1:.*in use")
	_, err = Listen("nonsense")
	c.Check(err, qt.ErrorMatches, `address "nonsense".*`)
}
