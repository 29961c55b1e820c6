// Package request is the state machine of a caller: it turns requests and
// sessions into packets and packets into results. It has no clock, socket or
// goroutine; the caller package drives it.
//
// A request is sent with one token at a time. It moves to another token only
// when the owner of the present one stated that the request was not run and
// never will be.
package request

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Call is one request.
type Call struct {
	Class      string
	Idempotent bool
	Body       []byte
	Deadline   time.Time
}

// Response is the answer to a Call.
type Response struct {
	Status uint32
	Body   []byte
	// Target is the ID of the target that ran the request.
	Target uint32
}

// Action is something for the driver to do.
type Action interface{ action() }

// Send sends a packet to one of the balancers, by its index in the settings.
type Send struct {
	Balancer int
	Packet   *schema.CallerPacket
}

// Finished ends a request with a response or an error.
type Finished struct {
	ID       uint64
	Response *Response
	Err      *errkind.Error
}

// SessionOpened reports that a session is open.
type SessionOpened struct {
	ID uint64
}

// SessionMessage is a message of the backend server.
type SessionMessage struct {
	ID   uint64
	Data []byte
}

// SessionEnded ends a session, or reports that it did not open.
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
	// MaxInProgress bounds the requests and sessions of one client.
	MaxInProgress = 65536
	// maxClass bounds the name of a class, in bytes, so that an opening always
	// fits a packet.
	maxClass = 256
	// maxAttempts bounds the targets that are tried; a flow has at most four
	// candidates.
	maxAttempts = 4
	// firstRetry is the wait before an unanswered packet is repeated; it doubles
	// up to maxRetry. It is above the round trip between regions.
	firstRetry = 200 * time.Millisecond
	maxRetry   = 1600 * time.Millisecond
	// cancelWait is the time for which a cancelled request waits to learn whether
	// it ran; cancelRetry is the interval of the repetitions.
	cancelWait  = 500 * time.Millisecond
	cancelRetry = 100 * time.Millisecond
	// PingInterval is the idle time after which a session is checked.
	PingInterval = 2 * time.Second
	// MaxMissedPings is the number of unanswered checks after which a session is
	// silent.
	MaxMissedPings = 3
	// pingTries is the number of times that a check is sent within its interval.
	pingTries = 4
	// maxLingering bounds the ended requests whose late packets are answered.
	maxLingering = 1024
)
