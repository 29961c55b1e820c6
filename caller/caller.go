// Package caller sends requests to, and holds sessions with, the services of a
// peridotstall fleet. A request runs at most once, and an error whose NotRun is
// true means that it did not run and never will.
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

// DefaultDeadline is used when neither the settings nor the request name one.
const DefaultDeadline = 10 * time.Second

// Settings configure a Client.
type Settings struct {
	// Service is the address of the service.
	Service netip.AddrPort
	// Balancers are the addresses that packets go to, each packet to a random
	// one. Empty means the address of the service.
	Balancers []netip.AddrPort
	// Local is the address to bind; the zero value lets the system choose.
	Local netip.AddrPort
	// Class and Deadline are used by requests that name none.
	Class    string
	Deadline time.Duration
	// Seed of the random source; 0 takes one from the system.
	Seed uint64
	// Trace receives the span of each request that ended; optional. It is called
	// by the goroutine of Do. Which spans are kept is up to the hook; the ratio of
	// the balancers decides by the trace ID only.
	Trace func(Span)
}

// Request is one request.
type Request struct {
	// Class is the kind of work, as in the policy of the service.
	Class string
	// Idempotent tells the system that a second run would do no harm.
	Idempotent bool
	Body       []byte
	// Deadline is the time allowed; that of the context may shorten it.
	Deadline time.Duration
}

// Response is the answer of a backend server.
type Response struct {
	// Status is the HTTP status of the backend server.
	Status int
	Body   []byte
	// Target is the ID of the target that ran the request.
	Target uint32
}

// Client talks to one service over one UDP socket. It is safe for concurrent use.
type Client struct {
	settings  Settings
	balancers []netip.AddrPort
	conn      *net.UDPConn
	kick      chan struct{} // wakes the timer goroutine
	stop      chan struct{}
	done      sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	machine  *request.Machine
	waiting  map[uint64]chan request.Finished
	sessions map[uint64]*Session
}

// Dial opens the socket of a client. It sends nothing.
func Dial(settings Settings) (*Client, error) {
	balancers := settings.Balancers
	if len(balancers) == 0 {
		balancers = []netip.AddrPort{settings.Service}
	}
	if err := checkAddresses(balancers); err != nil {
		return nil, err
	}
	seed, err := seedOf(settings)
	if err != nil {
		return nil, err
	}
	// The socket is not connected, because answers may come from any balancer.
	var local *net.UDPAddr
	if settings.Local.IsValid() {
		local = net.UDPAddrFromAddrPort(settings.Local)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrap(err, "open the socket of the client")
	}
	c := &Client{
		settings:  settings,
		balancers: balancers,
		conn:      conn,
		kick:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
		machine:   request.New(len(balancers), rand.New(rand.NewPCG(seed, seed))),
		waiting:   make(map[uint64]chan request.Finished),
		sessions:  make(map[uint64]*Session),
	}
	c.done.Add(2)
	go c.read()
	go c.tick()
	return c, nil
}

func checkAddresses(balancers []netip.AddrPort) error {
	if len(balancers) == 0 {
		return errors.New("no balancer address")
	}
	for _, address := range balancers {
		if !address.IsValid() || address.Port() == 0 {
			return errors.Errorf("invalid balancer address %q", address)
		}
	}
	return nil
}

// SetBalancers changes the addresses that packets go to. Requests and sessions
// in progress go on: any balancer reaches their targets.
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

func seedOf(settings Settings) (uint64, error) {
	if settings.Seed != 0 {
		return settings.Seed, nil
	}
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return 0, errors.Wrap(err, "read a random seed")
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// Do runs a request. The error is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	now := time.Now()
	call := request.Call{
		Class:      c.class(r.Class),
		Idempotent: r.Idempotent,
		Body:       r.Body,
		Deadline:   c.deadline(ctx, now, r.Deadline),
	}
	result := make(chan request.Finished, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, notSent(net.ErrClosed)
	}
	id, actions := c.machine.Start(now, call)
	c.waiting[id] = result
	c.apply(actions)
	c.mu.Unlock()
	response, err := c.wait(ctx, id, result)
	c.trace(id, call.Class, now, err)
	return response, err
}

// wait waits for the result. Cancelling the context withdraws the request; the
// deadline of the context is that of the request and needs no withdrawal.
func (c *Client) wait(ctx context.Context, id uint64, result chan request.Finished) (*Response, error) {
	select {
	case out := <-result:
		return convert(ctx, out)
	case <-ctx.Done():
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.cancel(id)
	}
	return convert(ctx, <-result)
}

func convert(ctx context.Context, out request.Finished) (*Response, error) {
	if out.Err != nil {
		err := newError(out.Err)
		err.cause = ctx.Err()
		return nil, err
	}
	return &Response{
		Status: int(out.Response.Status),
		Body:   out.Response.Body,
		Target: out.Response.Target,
	}, nil
}

func notSent(cause error) *Error {
	err := newError(errkind.New(schema.ErrorKind_CANCELLED_NOT_RUN, "%v", cause))
	err.cause = cause
	return err
}

func (c *Client) class(class string) string {
	if class == "" {
		return c.settings.Class
	}
	return class
}

func (c *Client) deadline(ctx context.Context, now time.Time, own time.Duration) time.Time {
	if own == 0 {
		own = c.settings.Deadline
	}
	if own == 0 {
		own = DefaultDeadline
	}
	deadline := now.Add(own)
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

// Close ends the client. Requests in progress end as cancelled.
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
	for id := range c.waiting {
		err := errkind.New(schema.ErrorKind_CANCELLED, "the client was closed")
		c.finish(request.Finished{ID: id, Err: err})
	}
	c.mu.Unlock()
	close(c.stop)
	err := c.conn.Close()
	c.done.Wait()
	return errors.Wrap(err, "close the socket of the client")
}

// read passes received packets to the state machine until the socket is closed.
func (c *Client) read() {
	defer c.done.Done()
	buf := make([]byte, wire.MaxPacket+1)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier packet
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

// tick wakes the state machine when it has something to do.
func (c *Client) tick() {
	defer c.done.Done()
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
		case <-c.stop:
			return
		case <-c.kick:
			continue
		case <-timer.C:
		}
		c.mu.Lock()
		c.apply(c.machine.Tick(time.Now()))
		c.mu.Unlock()
	}
}

// apply carries out actions; the caller holds the lock.
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
	case c.kick <- struct{}{}:
	default:
	}
}

// send writes a packet. A packet that cannot be written counts as lost; the
// state machine repeats it.
func (c *Client) send(a request.Send) {
	data, err := wire.EncodeCaller(a.Packet)
	if err != nil {
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(data, c.balancers[a.Balancer])
}

func (c *Client) finish(f request.Finished) {
	if result, ok := c.waiting[f.ID]; ok {
		delete(c.waiting, f.ID)
		result <- f
	}
}
