// Package request implements the state machine of a caller: it converts requests
// and sessions to packets, and packets to results. It reads no clock, opens no
// socket and starts no goroutine; the caller package drives it.
//
// A request is sent with one token at a time. It changes to another token only
// when the owner of the current one has stated that the request was not run and
// never will be.
package request

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Call describes a request.
type Call struct {
	Class      string
	Idempotent bool
	Body       []byte
	Deadline   time.Time
}

// Response is the result of a Call that was run.
type Response struct {
	Status uint32
	Body   []byte
	// Target is the ID of the target that ran the request.
	Target uint32
}

// Action is an operation or a result for the code that drives the Machine.
type Action interface{ action() }

// Send sends a packet to the balancer with the given index in the settings.
type Send struct {
	Balancer int
	Packet   *schema.CallerPacket
}

// Finished reports the end of a request with a response or an error.
type Finished struct {
	ID       uint64
	Response *Response
	Err      *errkind.Error
}

// SessionOpened reports that a session is open.
type SessionOpened struct {
	ID uint64
}

// SessionMessage is a message from the backend server.
type SessionMessage struct {
	ID   uint64
	Data []byte
}

// SessionEnded reports that a session ended or could not be opened.
type SessionEnded struct {
	ID  uint64
	Err *errkind.Error
}

func (Send) action()           {}
func (Finished) action()       {}
func (SessionOpened) action()  {}
func (SessionMessage) action() {}
func (SessionEnded) action()   {}

const (
	// MaxInProgress limits the requests and sessions in progress of one caller.
	MaxInProgress = 65536
	// maxClassBytes limits the length of a class name, so that an opening always
	// fits into a packet.
	maxClassBytes = 256
	// maxAttempts is the number of refusals after which a request fails; a flow has
	// at most four candidates.
	maxAttempts = 4
	// initialRetryDelay is the delay before the first retransmission of an
	// unanswered packet. It is longer than the round trip between regions. The
	// delay doubles up to maxRetryDelay.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 1600 * time.Millisecond
	// cancelTimeout is the time for which a cancelled request waits for its
	// outcome; cancelRetryInterval is the time between two cancellations.
	cancelTimeout       = 500 * time.Millisecond
	cancelRetryInterval = 100 * time.Millisecond
	// PingInterval is the idle time after which a session is pinged.
	PingInterval = 2 * time.Second
	// MaxMissedPings is the number of unanswered pings after which a session counts
	// as silent and ends.
	MaxMissedPings = 3
	// maxPingSends is the number of times that a ping is sent within its interval.
	maxPingSends = 4
	// maxLingering limits the ended requests and sessions whose late packets get a
	// reply.
	maxLingering = 1024
)
