// Package silence makes an address not answer, like one behind a partition: the kernel drops
// the opening packets of connections to it. It is for tests and stand-ins on loopback.
package silence

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// fillTimeout bounds the time in which the queue fills.
	fillTimeout = 5 * time.Second
	// checkTimeout is the time without an answer after which the queue counts as full. The
	// kernel answers on loopback within microseconds.
	checkTimeout = 100 * time.Millisecond
	// answeringBacklog is the length of the queue after Answer.
	answeringBacklog = 128
)

// Listener is a TCP listener that can stop to answer opening packets. Its methods are not safe
// for concurrent use.
type Listener struct {
	*net.TCPListener
	queued []net.Conn
}

// Listen returns a listener whose queue of new connections is full.
func Listen() (*Listener, error) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	l := New(listener)
	if err := l.Silence(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// New returns a listener that answers. The caller must not accept connections while it is silent.
func New(listener *net.TCPListener) *Listener { return &Listener{TCPListener: listener} }

// Silence fills the queue of new connections, until the kernel no longer answers.
func (l *Listener) Silence() error {
	if err := l.setBacklog(0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), fillTimeout)
	defer cancel()
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", l.Addr().String(), checkTimeout)
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			return nil
		case err != nil:
			return errors.Wrap(err, "fill the queue of new connections")
		}
		l.queued = append(l.queued, conn)
	}
	return errors.Errorf("the listener still answers after %d connections", len(l.queued))
}

// setBacklog sets the length of the kernel's queue of new connections.
func (l *Listener) setBacklog(length int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the listener")
	}
	var backlog error
	if err := raw.Control(func(fd uintptr) { backlog = syscall.Listen(int(fd), length) }); err != nil {
		return errors.Wrap(err, "access the listener")
	}
	return errors.Wrapf(backlog, "set the backlog to %d", length)
}

// Answer makes the address answer. The connections that were queued are closed.
func (l *Listener) Answer() error {
	for _, conn := range l.queued {
		conn.Close()
	}
	l.queued = nil
	return l.setBacklog(answeringBacklog)
}

// Close closes the listener and the connections in its queue.
func (l *Listener) Close() error {
	for _, conn := range l.queued {
		conn.Close()
	}
	return l.TCPListener.Close()
}
