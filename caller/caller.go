// Package caller is the client library for the services of a peridotstall fleet:
// it sends requests and keeps sessions. A request runs at most once per call of
// Do; if NotRun of the returned error is true, it did not run and never will.
package caller

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/request"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// DefaultDeadline applies if neither the request nor the settings set a deadline.
const DefaultDeadline = 10 * time.Second

// Settings configure a Client.
type Settings struct {
	// Service is the IP address and port of the service.
	Service netip.AddrPort
	// Balancers are the addresses to which packets are sent: the pings of a
	// session in turn, each other packet to a random one. If empty, all packets
	// are sent to Service.
	Balancers []netip.AddrPort
	// Local is the address to bind; the zero value lets the system choose.
	Local netip.AddrPort
	// Class is the class of requests without a class.
	Class string
	// Deadline is the time allowed for requests without a deadline and for
	// opening a session; 0 means DefaultDeadline.
	Deadline time.Duration
	// Seed seeds the random source; 0 takes a seed from the operating system.
	Seed uint64
	// Trace, if not nil, receives the span of each request that ended. It is
	// called by the goroutine that called Do. It decides which spans to keep.
	// Balancers sample requests by a ratio that is applied to the trace ID only.
	Trace func(Span)
}

// Request is a request to the service.
type Request struct {
	// Class is the class of work in the policy of the service; empty means the
	// class of the settings.
	Class string
	// Idempotent marks a request that may be run a second time without harm.
	Idempotent bool
	// Body is the body of the request, at most 4.9 MB.
	Body []byte
	// Deadline is the time allowed for the request; 0 means the deadline of the
	// settings. An earlier deadline of the context takes precedence.
	Deadline time.Duration
}

// Response is the response of a backend server.
type Response struct {
	// Status is the HTTP status of the backend server.
	Status int
	// Body is the body of the response.
	Body []byte
	// Target is the ID of the target that ran the request.
	Target uint32
}

// Client sends requests to one service and keeps sessions with it, over one UDP
// socket. It is safe for concurrent use.
type Client struct {
	settings   Settings
	balancers  []netip.AddrPort
	conn       *net.UDPConn
	wakeTimer  chan struct{} // wakes runTimers
	closing    chan struct{}
	goroutines sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	machine  *request.Machine
	results  map[uint64]chan request.Finished
	sessions map[uint64]*Session
}

// Dial returns a Client with an open socket. It sends nothing. It fails if a
// balancer address is invalid or the local address cannot be bound.
func Dial(settings Settings) (*Client, error) {
	balancers := settings.Balancers
	if len(balancers) == 0 {
		balancers = []netip.AddrPort{settings.Service}
	}
	if err := checkAddresses(balancers); err != nil {
		return nil, err
	}
	seed, err := newSeed(settings)
	if err != nil {
		return nil, err
	}
	// The socket is not connected, because packets may arrive from any balancer.
	var local *net.UDPAddr
	if settings.Local.IsValid() {
		local = net.UDPAddrFromAddrPort(settings.Local)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrap(err, "open client socket")
	}
	c := &Client{
		settings:  settings,
		balancers: balancers,
		conn:      conn,
		wakeTimer: make(chan struct{}, 1),
		closing:   make(chan struct{}),
		machine:   request.New(len(balancers), rand.New(rand.NewPCG(seed, seed))),
		results:   make(map[uint64]chan request.Finished),
		sessions:  make(map[uint64]*Session),
	}
	c.goroutines.Add(2)
	go c.receivePackets()
	go c.runTimers()
	return c, nil
}

func checkAddresses(balancers []netip.AddrPort) error {
	if len(balancers) == 0 {
		return errors.New("no balancer address")
	}
	for _, address := range balancers {
		if !address.IsValid() || address.Port() == 0 {
			return errors.Errorf("balancer address %q: IP address or port is missing", address)
		}
	}
	return nil
}

// SetBalancers replaces the addresses to which packets are sent. Requests and
// sessions in progress continue, because any balancer reaches their targets. If
// an address is invalid, it returns an error and changes nothing.
func (c *Client) SetBalancers(balancers []netip.AddrPort) error {
	if err := checkAddresses(balancers); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancers = slices.Clone(balancers)
	c.machine.SetBalancers(len(balancers))
	return nil
}

func newSeed(settings Settings) (uint64, error) {
	if settings.Seed != 0 {
		return settings.Seed, nil
	}
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return 0, errors.Wrap(err, "read a random seed")
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// Do sends a request and waits for the response. Cancelling ctx cancels the
// request. Each error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	now := time.Now()
	call := request.Call{
		Class:      c.classOrDefault(r.Class),
		Idempotent: r.Idempotent,
		Body:       r.Body,
		Deadline:   c.requestDeadline(ctx, now, r.Deadline),
	}
	result := make(chan request.Finished, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, notSent(net.ErrClosed)
	}
	id, actions := c.machine.Start(now, call)
	c.results[id] = result
	c.apply(actions)
	c.mu.Unlock()
	response, err := c.await(ctx, id, result)
	c.reportSpan(id, call.Class, now, err)
	return response, err
}

// await waits for the result of a request. If ctx is cancelled, it cancels the
// request. If the deadline of ctx passes, the request ends by itself, because its
// own deadline is not later.
func (c *Client) await(ctx context.Context, id uint64, result chan request.Finished) (*Response, error) {
	select {
	case finished := <-result:
		return toResponse(ctx, finished)
	case <-ctx.Done():
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.cancel(id)
	}
	return toResponse(ctx, <-result)
}

func toResponse(ctx context.Context, finished request.Finished) (*Response, error) {
	if finished.Err != nil {
		err := newError(finished.Err)
		err.cause = ctx.Err()
		return nil, err
	}
	return &Response{
		Status: int(finished.Response.Status),
		Body:   finished.Response.Body,
		Target: finished.Response.Target,
	}, nil
}

func notSent(cause error) *Error {
	err := newError(errkind.New(schema.ErrorKind_CANCELLED_NOT_RUN, "%v", cause))
	err.cause = cause
	return err
}

func (c *Client) classOrDefault(class string) string {
	if class == "" {
		return c.settings.Class
	}
	return class
}

func (c *Client) requestDeadline(ctx context.Context, now time.Time, timeout time.Duration) time.Time {
	if timeout == 0 {
		timeout = c.settings.Deadline
	}
	if timeout == 0 {
		timeout = DefaultDeadline
	}
	deadline := now.Add(timeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		return limit
	}
	return deadline
}

func (c *Client) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.machine.Cancel(time.Now(), id))
}

// Close closes the client. Requests and sessions in progress end with an error of
// kind Cancelled or CancelledNotRun.
func (c *Client) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	for _, id := range c.machine.InProgress() {
		c.apply(c.machine.Cancel(time.Now(), id))
	}
	for id := range c.results {
		err := errkind.New(schema.ErrorKind_CANCELLED, "the client was closed")
		c.finish(request.Finished{ID: id, Err: err})
	}
	c.mu.Unlock()
	close(c.closing)
	err := c.conn.Close()
	c.goroutines.Wait()
	return errors.Wrap(err, "close client socket")
}

// receivePackets passes received packets to the state machine until the socket is
// closed. It ignores packets that do not decode.
func (c *Client) receivePackets() {
	defer c.goroutines.Done()
	buf := make([]byte, wire.MaxPacket+1)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier packet
		}
		packet, err := wire.DecodeCaller(buf[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.apply(c.machine.Receive(time.Now(), packet))
		c.mu.Unlock()
	}
}

// runTimers calls Tick of the state machine when it has due work.
func (c *Client) runTimers() {
	defer c.goroutines.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		c.mu.Lock()
		next := c.machine.NextWake()
		c.mu.Unlock()
		wait := time.Hour
		if !next.IsZero() {
			wait = time.Until(next)
		}
		timer.Reset(wait)
		select {
		case <-c.closing:
			return
		case <-c.wakeTimer:
			continue
		case <-timer.C:
		}
		c.mu.Lock()
		c.apply(c.machine.Tick(time.Now()))
		c.mu.Unlock()
	}
}

// apply performs actions of the state machine. The caller must hold c.mu.
func (c *Client) apply(actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.Send:
			c.send(a)
		case request.Finished:
			c.finish(a)
		default:
			c.applySession(action)
		}
	}
	select {
	case c.wakeTimer <- struct{}{}:
	default:
	}
}

// send writes a packet. A packet that cannot be written counts as lost, and the
// state machine sends it again.
func (c *Client) send(a request.Send) {
	data, err := wire.EncodeCaller(a.Packet)
	if err != nil {
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(data, c.balancers[a.Balancer])
}

func (c *Client) finish(f request.Finished) {
	if result, ok := c.results[f.ID]; ok {
		delete(c.results, f.ID)
		result <- f
	}
}
