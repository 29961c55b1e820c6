package caller_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/caller"
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// immediateAdmission admits all work and starts requests in order without delay.
type immediateAdmission struct {
	last  offer.Ticket
	queue []offer.Ticket
}

func (a *immediateAdmission) Reserve(time.Time, offer.Request) (offer.Ticket, *errkind.Error) {
	a.last++
	return a.last, nil
}
func (a *immediateAdmission) Enqueue(_ time.Time, t offer.Ticket) bool {
	a.queue = append(a.queue, t)
	return true
}
func (a *immediateAdmission) Next(time.Time) (offer.Ticket, bool) {
	if len(a.queue) == 0 {
		return 0, false
	}
	t := a.queue[0]
	a.queue = a.queue[1:]
	return t, true
}
func (a *immediateAdmission) RemoveExpired(time.Time) []offer.Ticket            { return nil }
func (a *immediateAdmission) Release(offer.Ticket)                              {}
func (a *immediateAdmission) Done(time.Time, offer.Ticket, offer.Result)        {}
func (a *immediateAdmission) OpenFlow(time.Time, string, string) *errkind.Error { return nil }
func (a *immediateAdmission) CloseFlow(string, string)                          {}
func (a *immediateAdmission) SetDraining(bool)                                  {}

// startAgent runs an agent on a loopback socket. Its backend server echoes requests
// and session messages. Requests of class "slow" never end; their start is sent
// to slowStarted.
func startAgent(t *testing.T) (address netip.AddrPort, slowStarted chan struct{}) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	slowStarted = make(chan struct{}, 1)
	machine := offer.New(offer.Settings{Target: 1, Incarnation: 5}, &immediateAdmission{})
	var apply func([]offer.Action)
	apply = func(actions []offer.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case offer.Send:
				data, err := wire.EncodeCaller(a.Packet)
				qt.Check(t, err, qt.IsNil)
				conn.WriteToUDPAddrPort(data, a.To.Caller)
			case offer.StartRequest:
				if a.Class == "slow" {
					slowStarted <- struct{}{}
					continue
				}
				apply(machine.BackendDone(time.Now(), a.Sequence, offer.Response{Status: 200, Body: a.Body}))
			case offer.DeliverSession:
				apply(machine.SessionOutput(time.Now(), a.Sequence, a.Data))
			}
		}
	}
	go func() {
		buf := make([]byte, wire.MaxPacket+1)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			packet, err := wire.DecodeCaller(buf[:n])
			qt.Check(t, err, qt.IsNil)
			apply(machine.Handle(time.Now(), offer.Peer{Caller: from}, offer.Service{ID: 1}, packet))
			apply(machine.Tick(time.Now()))
		}
	}()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), slowStarted
}

// Guards against requests and sessions that do not end because the client does
// not pass packets, timers or contexts to the state machine.
func TestClientCompletesRequestsAndSessions(t *testing.T) {
	c := qt.New(t)
	address, slowStarted := startAgent(t)
	client, err := caller.Dial(caller.Settings{
		Balancers: []netip.AddrPort{address},
		Local:     netip.MustParseAddrPort("127.0.0.1:0"),
		Seed:      1,
		Deadline:  time.Minute,
	})
	c.Assert(err, qt.IsNil)
	defer client.Close()

	body := bytes.Repeat([]byte("bid "), 2000)
	response, err := client.Do(context.Background(), caller.Request{Body: body})
	c.Assert(err, qt.IsNil)
	c.Check(bytes.Equal(response.Body, body), qt.IsTrue)

	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-slowStarted
		cancel()
	}()
	_, err = client.Do(ctx, caller.Request{Class: "slow"})
	var failure *caller.Error
	c.Assert(err, qt.ErrorAs, &failure)
	c.Check(failure.Kind, qt.Equals, caller.Cancelled)
	c.Check(failure.NotRun(), qt.IsFalse)
	_, err = client.Do(ctx, caller.Request{})
	c.Assert(err, qt.ErrorAs, &failure)
	c.Check(failure.NotRun(), qt.IsTrue)

	session, err := client.OpenSession(context.Background(), "feed")
	c.Assert(err, qt.IsNil)
	c.Assert(session.Send([]byte("price")), qt.IsNil)
	data, err := session.Receive(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(string(data), qt.Equals, "price")
	c.Assert(session.Close(), qt.IsNil)
	_, err = session.Receive(context.Background())
	c.Assert(err, qt.ErrorAs, &failure)
}

// exportedKinds holds the constants of the package. A range of numbers would also
// include a kind without a constant.
var exportedKinds = map[caller.Kind]bool{
	caller.RefusedOverload: true, caller.RefusedDeadline: true, caller.RefusedDraining: true,
	caller.RefusedNoTarget: true, caller.RefusedBackendDown: true, caller.UnknownService: true,
	caller.WrongService: true, caller.OfferExpired: true, caller.TooOld: true,
	caller.CancelledNotRun: true, caller.UnknownOutcome: true, caller.UnknownFlow: true,
	caller.DeadlineExceeded: true, caller.Cancelled: true, caller.FlowSilent: true,
	caller.BackendFailed: true, caller.BackendShed: true, caller.Malformed: true,
	caller.TooLarge: true, caller.Internal: true,
}

// Guards against an error kind of the schema that has no constant for callers.
func TestEveryErrorKindHasConstant(t *testing.T) {
	for number, name := range schema.ErrorKind_name {
		if number == 0 {
			continue
		}
		kind := caller.Kind(number)
		qt.Check(t, kind.String(), qt.Equals, name)
		qt.Check(t, exportedKinds[kind], qt.IsTrue, qt.Commentf("%v", kind))
	}
}
