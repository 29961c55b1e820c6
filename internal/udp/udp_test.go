package udp

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against old datagrams that look new: datagrams wait in the receive queue
// while a process is paused.
func TestReadReportsQueueTime(t *testing.T) {
	c := qt.New(t)
	receiver, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer receiver.Close()
	sender, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer sender.Close()

	// Linux enables receive timestamps asynchronously. Until then, a datagram gets
	// its timestamp when it is read.
	for range 200 {
		if age := queueTimeAfter(c, sender, receiver, 20*time.Millisecond); age >= 10*time.Millisecond {
			return
		}
	}
	c.Fatal("no datagram had a queue time of at least 10 ms")
}

// queueTimeAfter sends a datagram, waits, reads it and returns its queue time.
func queueTimeAfter(c *qt.C, sender, receiver *Conn, wait time.Duration) time.Duration {
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

// Guards against errors that lack the address or the cause.
func TestListenErrorNamesAddress(t *testing.T) {
	c := qt.New(t)
	first, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer first.Close()
	_, err = Listen(first.Local().String())
	c.Check(err, qt.ErrorMatches, "bind UDP address 127.0.0.1:.*in use")
	_, err = Listen("nonsense")
	c.Check(err, qt.ErrorMatches, `address "nonsense".*`)
}
