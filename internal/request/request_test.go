package request_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/request"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

const seed = 11

var epoch = time.Unix(1_700_000_000, 0)

func last[A request.Action](actions []request.Action) (out A, ok bool) {
	for _, action := range actions {
		if a, is := action.(A); is {
			out, ok = a, true
		}
	}
	return out, ok
}

func token(sequence uint64) *schema.Token {
	return &schema.Token{Target: 3, Incarnation: 9, Sequence: sequence}
}

func offerOf(id uint64, sequence uint64) *schema.CallerPacket {
	return &schema.CallerPacket{RequestId: id, Token: token(sequence), Body: &schema.CallerPacket_Offer{Offer: &schema.Offer{}}}
}

func openSession(c *qt.C) (*request.Machine, uint64) {
	m := request.New(2, rand.New(rand.NewPCG(seed, seed)))
	id, _ := m.OpenSession(epoch, "feed", epoch.Add(time.Second))
	ping, _ := last[request.Send](m.Receive(epoch, offerOf(id, 1)))
	c.Assert(ping.Packet.GetPing(), qt.IsNotNil)
	_, opened := last[request.SessionOpened](m.Receive(epoch, pong(id)))
	c.Assert(opened, qt.IsTrue)
	return m, id
}

func pong(id uint64) *schema.CallerPacket {
	return &schema.CallerPacket{RequestId: id, Token: token(1), Body: &schema.CallerPacket_Pong{Pong: &schema.Pong{Sequence: 1}}}
}

// Guards against a session that goes silent unnoticed, or counts as silent
// while its target answers or because the caller was paused.
func TestSessionSilence(t *testing.T) {
	c := qt.New(t)
	m, id := openSession(c)
	now := epoch
	for range 10 {
		now = now.Add(request.PingInterval)
		ping, _ := last[request.Send](m.Tick(now))
		c.Assert(ping.Packet.GetPing(), qt.IsNotNil)
		m.Receive(now, pong(id))
	}
	now = now.Add(30 * time.Second)
	// From the first unanswered ping on the session ends after exactly
	// MaxMissedPings intervals, however often a ping is repeated in each.
	silent := now.Add(request.MaxMissedPings * request.PingInterval)
	for now.Before(silent) {
		_, ended := last[request.SessionEnded](m.Tick(now))
		c.Assert(ended, qt.IsFalse)
		now = m.NextWake()
	}
	c.Assert(now, qt.Equals, silent)
	end, ended := last[request.SessionEnded](m.Tick(now))
	c.Assert(ended, qt.IsTrue)
	c.Check(end.Err.Kind, qt.Equals, schema.ErrorKind_FLOW_SILENT)
	c.Check(m.InProgress(), qt.HasLen, 0)
}

// Guards against a lost session that is not reported, and against a message
// that is delivered twice.
func TestSessionMessagesAndLoss(t *testing.T) {
	c := qt.New(t)
	m, id := openSession(c)
	data := &schema.CallerPacket{RequestId: id, Token: token(1), Body: &schema.CallerPacket_Data{Data: &schema.SessionData{Sequence: 4}}}
	_, first := last[request.SessionMessage](m.Receive(epoch, data))
	_, second := last[request.SessionMessage](m.Receive(epoch, data))
	c.Check(first && !second, qt.IsTrue)
	lost := &schema.CallerPacket{RequestId: id, Token: token(1), Body: &schema.CallerPacket_Outcome{
		Outcome: &schema.Outcome{Kind: schema.ErrorKind_UNKNOWN_FLOW}}}
	end, _ := last[request.SessionEnded](m.Receive(epoch, lost))
	c.Check(end.Err.Kind, qt.Equals, schema.ErrorKind_UNKNOWN_FLOW)
}

// Guards against retries above 20% of the base load, and against a budget that
// allows none to a client with little load.
func TestRetryBudget(t *testing.T) {
	for _, test := range []struct{ calls, retries int }{{20, 10}, {200, 40}} {
		m := request.New(1, rand.New(rand.NewPCG(seed, seed)))
		retries := 0
		for range test.calls {
			id, _ := m.Start(epoch, request.Call{Deadline: epoch.Add(time.Second)})
			refusal := &schema.CallerPacket{RequestId: id, Body: &schema.CallerPacket_Refusal{
				Refusal: &schema.Refusal{Kind: schema.ErrorKind_REFUSED_OVERLOAD, Target: 1}}}
			if _, sent := last[request.Send](m.Receive(epoch, refusal)); sent {
				retries++
			}
		}
		budget := max(test.retries, test.calls/5)
		qt.Check(t, retries <= budget && retries > budget/2, qt.IsTrue, qt.Commentf("%d retries of %d calls", retries, test.calls))
	}
}

// Guards against a second taken offer: the later one is declined.
func TestOneOfferIsTaken(t *testing.T) {
	c := qt.New(t)
	m := request.New(1, rand.New(rand.NewPCG(seed, seed)))
	id, _ := m.Start(epoch, request.Call{Deadline: epoch.Add(time.Second)})
	taken, _ := last[request.Send](m.Receive(epoch, offerOf(id, 1)))
	c.Check(taken.Packet.GetRequest(), qt.IsNotNil)
	declined, _ := last[request.Send](m.Receive(epoch, offerOf(id, 2)))
	c.Check(declined.Packet.GetCancel(), qt.IsNotNil)
	c.Check(declined.Packet.Token.Sequence, qt.Equals, uint64(2))
	c.Check(m.Receive(epoch, offerOf(id, 1)), qt.HasLen, 0)
}

// Guards against an opening that cannot be encoded and would be repeated until
// the deadline.
func TestCallsThatCannotBeSent(t *testing.T) {
	for _, call := range []request.Call{
		{Class: "\xff", Deadline: epoch.Add(time.Second)},
		{Class: strings.Repeat("x", 2000), Deadline: epoch.Add(time.Second)},
		{Body: make([]byte, wire.MaxFragment*wire.MaxFragments+1), Deadline: epoch.Add(time.Second)},
		{Deadline: epoch},
	} {
		m := request.New(1, rand.New(rand.NewPCG(seed, seed)))
		_, actions := m.Start(epoch, call)
		end, _ := last[request.Finished](actions)
		qt.Check(t, end.Err.NotRun(), qt.IsTrue)
		qt.Check(t, actions, qt.HasLen, 1)
	}
}
