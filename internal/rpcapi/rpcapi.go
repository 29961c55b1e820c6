// Package rpcapi provides the operator interface of a process over net/rpc: its
// status, its admission figures, the placement of a flow, and the takeover of an
// agent.
package rpcapi

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/offer"
)

// serviceName is the name of the net/rpc service.
const serviceName = "Process"

// Status is the status of a process.
type Status struct {
	Role     string `json:"role"`
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	// Flows, Requests and Queued are the current numbers.
	Flows    int64 `json:"flows"`
	Requests int64 `json:"requests"`
	Queued   int64 `json:"queued"`
	// Slots is the configured maximum number of concurrent requests.
	Slots int `json:"slots"`
	// DirectoryEntries is the number of directory entries for flows of other
	// targets.
	DirectoryEntries int64 `json:"directory_entries"`
	// ConfigAge is the time since the revision was accepted, in nanoseconds in JSON.
	ConfigAge time.Duration `json:"config_age_ns"`
	// LinkDoubted is set while the process suspects its own network link.
	LinkDoubted bool `json:"link_doubted"`
	// ControlBytes is the number of bytes of control frames sent so far.
	ControlBytes int64 `json:"control_bytes"`
}

// Treatment holds the admission figures of one member and class at one target. It
// contains no data about callers.
type Treatment struct {
	Host      string            `json:"host"`
	Target    uint32            `json:"target"`
	Member    string            `json:"member"`
	Weight    uint32            `json:"weight"`
	Class     string            `json:"class"`
	Offered   uint64            `json:"offered"`
	Admitted  uint64            `json:"admitted"`
	Completed uint64            `json:"completed"`
	Refused   map[string]uint64 `json:"refused"`
	Flows     int               `json:"flows"`
	SlotTime  time.Duration     `json:"slot_time_ns"`
	WaitP50   time.Duration     `json:"wait_p50_ns"`
	WaitP99   time.Duration     `json:"wait_p99_ns"`
	RunP50    time.Duration     `json:"run_p50_ns"`
	RunP99    time.Duration     `json:"run_p99_ns"`
}

// FlowQuery identifies a flow.
type FlowQuery struct {
	// Service is the published address of the service.
	Service netip.AddrPort
	// Caller is the address and port of the caller.
	Caller netip.AddrPort
}

// Candidate is one target in the candidate order of a flow.
type Candidate struct {
	Target uint32 `json:"target"`
	Host   string `json:"host"`
	Usable bool   `json:"usable"`
}

// Explanation is the state of a flow at a process and the decision for its next
// packet.
type Explanation struct {
	Process    string      `json:"process"`
	Revision   uint64      `json:"revision"`
	ServiceID  uint32      `json:"service_id"`
	Service    string      `json:"service"`
	Hash       uint64      `json:"hash"`
	Candidates []Candidate `json:"candidates"`
	// Chosen is the target to which a balancer currently sends packets of the flow.
	Chosen uint32 `json:"chosen"`
	// Owned is set by the agent that owns the flow.
	Owned bool `json:"owned"`
	// Directory is the owner according to the directory of an agent, 0 if there is
	// none.
	Directory uint32 `json:"directory"`
	// Settled is false while an agent queries other agents before it opens a flow.
	Settled bool `json:"settled"`
	// Reason is the rule that currently applies to a packet of the flow.
	Reason string `json:"reason"`
	// Refusals are the latest refusals of the caller at an agent.
	Refusals []Refusal `json:"refusals,omitempty"`
}

// Refusal is a request, flow or packet that an agent refused or dropped.
type Refusal struct {
	At time.Time `json:"at"`
	// Kind is the error kind. Detail is the rule and the figures at that time.
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

// Takeover is the state that an agent process hands over to its successor on the
// same host.
type Takeover struct {
	// Target is the target of both processes.
	Target uint32
	Flows  []FlowState
	Offers offer.State
	// Sessions holds the sockets of the sessions in Offers.
	Sessions []SessionState
}

// FlowState is a plain flow with its socket.
type FlowState struct {
	Record flow.Record
	// Local is the local address of the socket to the backend server.
	Local netip.AddrPort
	// Return is the frame address of the balancer through which answers are sent.
	Return netip.AddrPort
}

// SessionState is the socket of a session.
type SessionState struct {
	Sequence uint64
	Local    netip.AddrPort
	Return   netip.AddrPort
}

// Process is the part of a process that the operator interface calls.
type Process interface {
	Status() Status
	Treatment() []Treatment
	Explain(q FlowQuery) (Explanation, error)
	// HandOver returns the flows of an agent for a successor that serves the target,
	// and ends the agent. An agent of another target returns an error and continues
	// to serve.
	HandOver(target uint32) (*Takeover, error)
}

// Empty is the argument of methods that need none.
type Empty struct{}

// handler adapts a Process to the method form of net/rpc.
type handler struct{ process Process }

// Status implements the RPC of that name.
func (h handler) Status(_ Empty, reply *Status) error {
	*reply = h.process.Status()
	return nil
}

// Treatment implements the RPC of that name.
func (h handler) Treatment(_ Empty, reply *[]Treatment) error {
	*reply = h.process.Treatment()
	return nil
}

// Explain implements the RPC of that name.
func (h handler) Explain(q FlowQuery, reply *Explanation) error {
	explanation, err := h.process.Explain(q)
	*reply = explanation
	return err
}

// HandOver implements the RPC of that name.
func (h handler) HandOver(target uint32, reply *Takeover) error {
	state, err := h.process.HandOver(target)
	if err != nil {
		return err
	}
	*reply = *state
	return nil
}

// Serve binds the address and serves p in new goroutines until the returned
// listener is closed. Connections accepted before stay open.
func Serve(address string, p Process) (net.Listener, error) {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, handler{p}); err != nil {
		return nil, errors.Wrap(err, "register operator interface")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "bind operator interface %s", address)
	}
	go accept(listener, server)
	return listener, nil
}

// accept serves connections until the listener is closed. It replaces
// rpc.Server.Accept, which logs the closed listener as an error.
func accept(listener net.Listener, server *rpc.Server) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.ServeConn(conn)
	}
}

// Client is a client of one process.
type Client struct {
	client *rpc.Client
}

// Dial connects to the operator interface of a process.
func Dial(ctx context.Context, address string) (*Client, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "process %s", address)
	}
	return &Client{client: rpc.NewClient(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() error {
	return c.client.Close()
}

// Status returns the status of the process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var reply Status
	err := c.call(ctx, "Status", Empty{}, &reply)
	return reply, err
}

// Treatment returns the admission figures of the process, one entry per member and
// class.
func (c *Client) Treatment(ctx context.Context) ([]Treatment, error) {
	var reply []Treatment
	err := c.call(ctx, "Treatment", Empty{}, &reply)
	return reply, err
}

// Explain returns the state of a flow at the process.
func (c *Client) Explain(ctx context.Context, q FlowQuery) (Explanation, error) {
	var reply Explanation
	err := c.call(ctx, "Explain", q, &reply)
	return reply, err
}

// HandOver takes over the flows of the running agent of a target. The agent ends
// afterwards.
func (c *Client) HandOver(ctx context.Context, target uint32) (*Takeover, error) {
	reply := &Takeover{}
	err := c.call(ctx, "HandOver", target, reply)
	return reply, err
}

// call calls a method and waits for its reply until ctx ends. Because net/rpc has
// no timeouts, call then closes the connection of the client.
func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	call := c.client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return errors.Wrap(call.Error, method)
	case <-ctx.Done():
		c.client.Close()
		<-call.Done
		return errors.Wrap(ctx.Err(), method)
	}
}
