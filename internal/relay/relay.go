// Package relay proxies the TCP connections of services of mode TCP from the
// caller through a balancer and the agent of a target to the backend server. A
// connection that fails on one side is reset on the other, so that a caller
// never takes a truncated response for a complete one.
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
	// DefaultConnectTimeout limits one attempt to connect to an agent or a
	// backend server. Within a fleet connecting takes milliseconds; the timeout
	// allows for two lost SYNs, which are retransmitted after 1 s and another 2 s.
	DefaultConnectTimeout = 4 * time.Second
	// DefaultPreambleTimeout limits the exchange of preambles. It exceeds the
	// connect timeout, because an agent replies only after it has connected to
	// its backend server.
	DefaultPreambleTimeout = 5 * time.Second
)

// abort closes a connection with a TCP reset.
func abort(c *net.TCPConn) {
	resetOnClose(c, true)
	c.Close()
}

// resetOnClose selects whether closing a connection resets it. The kernel closes the
// connections of a process that is killed; without a reset, the peer would take the
// part that it received for the whole.
func resetOnClose(c *net.TCPConn, enabled bool) {
	linger := -1
	if enabled {
		linger = 0
	}
	// SetLinger fails only on a closed connection.
	_ = c.SetLinger(linger)
}

// connPair is a relayed connection. Its connections are the accepted one and the
// outgoing one of each attempt.
type connPair struct {
	mu      sync.Mutex
	conns   []*net.TCPConn
	aborted bool
	// admitted pairs are counted as cut when a drain aborts them. The others
	// are not, because they would have been refused.
	admitted bool
}

func (p *connPair) admit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admitted = true
}

// attach adds a connection. If the pair is already aborted, it aborts the
// connection and returns false.
func (p *connPair) attach(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aborted {
		abort(c)
		return false
	}
	p.conns = append(p.conns, c)
	return true
}

// abort resets the connections and reports whether the pair was admitted.
func (p *connPair) abort() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aborted = true
	for _, c := range p.conns {
		abort(c)
	}
	return p.admitted
}

// copyBoth copies in both directions until both have ended, closes both
// connections and returns the number of bytes copied.
func (p *connPair) copyBoth(a, b *net.TCPConn) (int64, error) {
	type result struct {
		bytes int64
		err   error
	}
	resetOnClose(a, true)
	resetOnClose(b, true)
	reverse := make(chan result, 1)
	go func() {
		bytes, err := p.copyDirection(a, b)
		reverse <- result{bytes, err}
	}()
	bytes, err := p.copyDirection(b, a)
	reverseResult := <-reverse
	if err == nil {
		err = reverseResult.err
	}
	if err == nil {
		// Both ends of stream were sent; the rest of the data must still arrive.
		resetOnClose(a, false)
		resetOnClose(b, false)
	}
	a.Close()
	b.Close()
	return bytes + reverseResult.bytes, err
}

// copyDirection copies from src to dst. It propagates end of stream as a
// half-close and aborts the pair after an error.
func (p *connPair) copyDirection(dst, src *net.TCPConn) (int64, error) {
	bytes, err := io.Copy(dst, src)
	if err == nil {
		err = dst.CloseWrite()
	}
	if err != nil {
		p.abort()
	}
	return bytes, errors.Wrap(err, "copy")
}

// tracker holds the open connections and the listeners of one side.
type tracker struct {
	mu        sync.Mutex
	limit     int
	pairs     map[*connPair]struct{}
	listeners []net.Listener
	draining  bool
	// idle is closed when a drain has begun and no pair is open.
	idle chan struct{}
}

func newTracker(limit int) *tracker {
	return &tracker{limit: limit, pairs: make(map[*connPair]struct{}), idle: make(chan struct{})}
}

// listen registers a listener. It returns false if a drain has begun.
func (t *tracker) listen(l net.Listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.listeners = append(t.listeners, l)
	return true
}

// open adds a pair for an accepted connection. It returns nil at the limit.
func (t *tracker) open(c *net.TCPConn) *connPair {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pairs) >= t.limit {
		return nil
	}
	pair := &connPair{conns: []*net.TCPConn{c}}
	t.pairs[pair] = struct{}{}
	return pair
}

func (t *tracker) close(pair *connPair) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pairs, pair)
	t.signalIdle()
}

// signalIdle closes idle if a drain has begun and no pair is open. The caller
// must hold t.mu.
func (t *tracker) signalIdle() {
	if !t.draining || len(t.pairs) > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

func (t *tracker) drainBegun() bool {
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

// wait waits until no pair is open or ctx ends. Then it aborts the remaining
// pairs and returns the number of admitted ones among them.
func (t *tracker) wait(ctx context.Context) int {
	select {
	case <-t.idle:
		return 0
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	cut := 0
	for pair := range t.pairs {
		if pair.abort() {
			cut++
		}
	}
	return cut
}

// acceptBackoff is the delay after a failed accept. Without it, an accept that
// fails for lack of file descriptors would be repeated in a busy loop.
const acceptBackoff = 10 * time.Millisecond

// serve passes accepted connections to handle. It returns nil when a drain has
// closed the listener, and an error when the listener was closed otherwise.
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
			if t.drainBegun() {
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
