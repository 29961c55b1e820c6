// Package relay carries connections of services of mode TCP: a balancer
// accepts a caller's connection, chooses a target and connects to its agent,
// and the agent connects to its backend server. A connection that ends
// abnormally on one side is reset on the other one, so that a caller never
// takes a truncated response for a complete one.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultConnectTimeout bounds one attempt to reach an agent or a backend
	// server. Within a fleet a connection takes milliseconds; a lost SYN is
	// repeated after 1 s and again after 2 s.
	DefaultConnectTimeout = 4 * time.Second
	// DefaultPreambleTimeout bounds the exchange of preambles. It exceeds the
	// connect timeout, since an agent answers after it reached its backend server.
	DefaultPreambleTimeout = 5 * time.Second
)

// abort closes a connection with a reset.
func abort(c *net.TCPConn) {
	// SetLinger fails only on a closed connection.
	_ = c.SetLinger(0)
	c.Close()
}

// link is a relayed connection with its two ends. The second end is unknown
// until the set-up is complete.
type link struct {
	mu   sync.Mutex
	ends []*net.TCPConn
	cut  bool
	// admitted links count as cut when a drain ends them; the others would
	// have been refused.
	admitted bool
}

// admit marks the link as admitted.
func (l *link) admit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admitted = true
}

// attach adds an end. It returns false, with the end closed, when the link was cut.
func (l *link) attach(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		abort(c)
		return false
	}
	l.ends = append(l.ends, c)
	return true
}

// abort resets all ends and reports whether the link was admitted.
func (l *link) abort() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for _, c := range l.ends {
		abort(c)
	}
	return l.admitted
}

// copyBoth copies in both directions until both ended, and returns the bytes copied.
func (l *link) copyBoth(a, b *net.TCPConn) (int64, error) {
	type result struct {
		bytes int64
		err   error
	}
	back := make(chan result, 1)
	go func() {
		bytes, err := l.copyHalf(a, b)
		back <- result{bytes, err}
	}()
	bytes, err := l.copyHalf(b, a)
	other := <-back
	a.Close()
	b.Close()
	if err == nil {
		err = other.err
	}
	return bytes + other.bytes, err
}

// copyHalf copies one direction and passes its end on as a half-close.
func (l *link) copyHalf(dst, src *net.TCPConn) (int64, error) {
	bytes, err := io.Copy(dst, src)
	if err == nil {
		err = dst.CloseWrite()
	}
	if err != nil {
		l.abort()
	}
	return bytes, errors.Wrap(err, "copy")
}

// tracker holds the open links of one side and its listeners.
type tracker struct {
	mu        sync.Mutex
	limit     int
	links     map[*link]struct{}
	listeners []net.Listener
	draining  bool
	// idle is closed when draining and no link is left.
	idle chan struct{}
}

func newTracker(limit int) *tracker {
	return &tracker{limit: limit, links: make(map[*link]struct{}), idle: make(chan struct{})}
}

// listen notes a listener; it returns false after the drain began.
func (t *tracker) listen(l net.Listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.listeners = append(t.listeners, l)
	return true
}

// open adds a link for an accepted connection, or returns nil at the limit.
func (t *tracker) open(c *net.TCPConn) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.links) >= t.limit {
		return nil
	}
	l := &link{ends: []*net.TCPConn{c}}
	t.links[l] = struct{}{}
	return l
}

func (t *tracker) close(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.links, l)
	t.signalIdle()
}

// signalIdle closes idle once; the caller holds mu.
func (t *tracker) signalIdle() {
	if !t.draining || len(t.links) > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

func (t *tracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

func (t *tracker) beginDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.signalIdle()
}

func (t *tracker) closeListeners() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.listeners {
		l.Close()
	}
}

// wait waits until no link is left or ctx ends, then cuts those that are left
// and returns the number of admitted ones among them.
func (t *tracker) wait(ctx context.Context) int {
	select {
	case <-t.idle:
		return 0
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	cut := 0
	for l := range t.links {
		if l.abort() {
			cut++
		}
	}
	return cut
}

// acceptBackoff is the pause after a failed accept, such as one for lack of
// file descriptors, which would otherwise fail again at once.
const acceptBackoff = 10 * time.Millisecond

// serve accepts connections until the listener is closed by a drain.
func (t *tracker) serve(listener net.Listener, handle func(*net.TCPConn)) error {
	if !t.listen(listener) {
		listener.Close()
		return nil
	}
	for {
		c, err := listener.Accept()
		if err == nil {
			handle(c.(*net.TCPConn))
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			if t.isDraining() {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		time.Sleep(acceptBackoff)
	}
}

// dial connects to an address within the timeout.
func dial(address string, timeout time.Duration) (*net.TCPConn, error) {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	return c.(*net.TCPConn), nil
}
