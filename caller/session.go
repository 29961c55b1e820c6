package caller

import (
	"context"
	"net"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/request"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// maxUnreadMessages is the maximum number of received messages of a session that
// Receive has not returned. Further ones are dropped, like messages lost in the
// network.
const maxUnreadMessages = 1024

// Session is a long-lived exchange of messages with one backend server. Messages
// may be lost or reordered, but each arrives at most once. It is safe for
// concurrent use.
type Session struct {
	client   *Client
	id       uint64
	opened   chan struct{}
	messages chan []byte
	ended    chan struct{}
	err      *Error // set before ended is closed
}

// OpenSession opens a session; an empty class means the class of the settings. It
// returns when a target has accepted the session, or with an *Error if that fails,
// ctx ends or the deadline of the settings passes.
func (c *Client) OpenSession(ctx context.Context, class string) (*Session, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	now := time.Now()
	s := &Session{
		client:   c,
		opened:   make(chan struct{}),
		messages: make(chan []byte, maxUnreadMessages),
		ended:    make(chan struct{}),
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, notSent(net.ErrClosed)
	}
	id, actions := c.machine.OpenSession(now, c.classOrDefault(class), c.requestDeadline(ctx, now, 0))
	s.id = id
	c.sessions[id] = s
	c.apply(actions)
	c.mu.Unlock()
	select {
	case <-s.opened:
		return s, nil
	case <-s.ended:
		return nil, s.err
	case <-ctx.Done():
		c.cancel(id)
		<-s.ended
		return nil, s.err
	}
}

// Send sends one message of at most 1,200 bytes; a longer one fails with kind
// TooLarge. After the end of the session it returns the error that ended it. Each
// error is an *Error.
func (s *Session) Send(data []byte) error {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	select {
	case <-s.ended:
		return s.err
	default:
	}
	actions, err := s.client.machine.SendMessage(s.id, data)
	if err != nil {
		return newError(err)
	}
	s.client.apply(actions)
	return nil
}

// Receive returns the next message. After the end of the session it returns the
// remaining messages, then an *Error: of kind FlowSilent or UnknownFlow if the
// session was lost. If ctx ends first, the error has kind Cancelled and the
// session stays open.
func (s *Session) Receive(ctx context.Context) ([]byte, error) {
	select {
	case data := <-s.messages:
		return data, nil
	default:
	}
	select {
	case data := <-s.messages:
		return data, nil
	case <-s.ended:
		return s.receiveAfterEnd()
	case <-ctx.Done():
		err := newError(errkind.New(schema.ErrorKind_CANCELLED, "%v", ctx.Err()))
		err.cause = ctx.Err()
		return nil, err
	}
}

func (s *Session) receiveAfterEnd() ([]byte, error) {
	select {
	case data := <-s.messages:
		return data, nil
	default:
		return nil, s.err
	}
}

// Close ends the session; it always returns nil. Later calls of Receive return
// the remaining messages, then an error of kind Cancelled.
func (s *Session) Close() error {
	s.client.cancel(s.id)
	return nil
}

// applySession performs an action of a session. The caller must hold c.mu.
func (c *Client) applySession(action request.Action) {
	switch a := action.(type) {
	case request.SessionOpened:
		if s := c.sessions[a.ID]; s != nil {
			close(s.opened)
		}
	case request.SessionMessage:
		if s := c.sessions[a.ID]; s != nil {
			s.deliver(a.Data)
		}
	case request.SessionEnded:
		if s := c.sessions[a.ID]; s != nil {
			delete(c.sessions, a.ID)
			s.end(newError(a.Err))
		}
	}
}

func (s *Session) deliver(data []byte) {
	select {
	case s.messages <- data:
	default:
	}
}

func (s *Session) end(err *Error) {
	s.err = err
	close(s.ended)
}
