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

func lastAction[A request.Action](actions []request.Action) (out A, ok bool) {
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

func offerPacket(id uint64, sequence uint64) *schema.CallerPacket {
	return &schema.CallerPacket{RequestId: id, Token: token(sequence), Body: &schema.CallerPacket_Offer{Offer: &schema.Offer{}}}
}

func openSession(c *qt.C) (*request.Machine, uint64) {
	m := request.New(2, rand.New(rand.NewPCG(seed, seed)))
	id, _ := m.OpenSession(epoch, "feed", epoch.Add(time.Second))
	ping, _ := lastAction[request.Send](m.Receive(epoch, offerPacket(id, 1)))
	c.Assert(ping.Packet.GetPing(), qt.IsNotNil)
	_, opened := lastAction[request.SessionOpened](m.Receive(epoch, pongPacket(id)))
	c.Assert(opened, qt.IsTrue)
	return m, id
}

func pongPacket(id uint64) *schema.CallerPacket {
	return &schema.CallerPacket{RequestId: id, Token: token(1), Body: &schema.CallerPacket_Pong{Pong: &schema.Pong{Sequence: 1}}}
}

// Guards against a silent session that is not detected, and against a session that
// counts as silent while its target replies or because the caller was paused.
func TestSessionSilence(t *testing.T) {
	c := qt.New(t)
	m, id := openSession(c)
	now := epoch
	for range 10 {
		now = now.Add(request.PingInterval)
		ping, _ := lastAction[request.Send](m.Tick(now))
		c.Assert(ping.Packet.GetPing(), qt.IsNotNil)
		m.Receive(now, pongPacket(id))
	}
	now = now.Add(30 * time.Second)
	// The session ends exactly MaxMissedPings intervals after the first unanswered
	// ping, regardless of how often a ping is repeated in each interval.
	silent := now.Add(request.MaxMissedPings * request.PingInterval)
	for now.Before(silent) {
		_, ended := lastAction[request.SessionEnded](m.Tick(now))
		c.Assert(ended, qt.IsFalse)
		now = m.NextWake()
	}
	c.Assert(now, qt.Equals, silent)
	end, ended := lastAction[request.SessionEnded](m.Tick(now))
	c.Assert(ended, qt.IsTrue)
	c.Check(end.Err.Kind, qt.Equals, schema.ErrorKind_FLOW_SILENT)
	c.Check(m.InProgress(), qt.HasLen, 0)
}

// Guards against a session that its target no longer holds and that is not
// reported as ended, and against a message that is delivered twice.
func TestSessionMessagesAndUnknownFlow(t *testing.T) {
	c := qt.New(t)
	m, id := openSession(c)
	data := &schema.CallerPacket{RequestId: id, Token: token(1), Body: &schema.CallerPacket_Data{Data: &schema.SessionData{Sequence: 4}}}
	_, first := lastAction[request.SessionMessage](m.Receive(epoch, data))
	_, second := lastAction[request.SessionMessage](m.Receive(epoch, data))
	c.Check(first && !second, qt.IsTrue)
	lost := &schema.CallerPacket{RequestId: id, Token: token(1), Body: &schema.CallerPacket_Outcome{
		Outcome: &schema.Outcome{Kind: schema.ErrorKind_UNKNOWN_FLOW}}}
	end, _ := lastAction[request.SessionEnded](m.Receive(epoch, lost))
	c.Check(end.Err.Kind, qt.Equals, schema.ErrorKind_UNKNOWN_FLOW)
}

// Guards against retries above 20% of the first attempts, and against a budget that
// allows no retries for a caller with little load.
func TestRetryBudget(t *testing.T) {
	for _, test := range []struct{ calls, retries int }{{20, 10}, {200, 40}} {
		m := request.New(1, rand.New(rand.NewPCG(seed, seed)))
		retries := 0
		for range test.calls {
			id, _ := m.Start(epoch, request.Call{Deadline: epoch.Add(time.Second)})
			refusal := &schema.CallerPacket{RequestId: id, Body: &schema.CallerPacket_Refusal{
				Refusal: &schema.Refusal{Kind: schema.ErrorKind_REFUSED_OVERLOAD, Target: 1}}}
			if _, sent := lastAction[request.Send](m.Receive(epoch, refusal)); sent {
				retries++
			}
		}
		budget := max(test.retries, test.calls/5)
		qt.Check(t, retries <= budget && retries > budget/2, qt.IsTrue, qt.Commentf("%d retries of %d calls", retries, test.calls))
	}
}

// Guards against accepting two offers for one request: the later one is cancelled.
func TestSecondOfferIsCancelled(t *testing.T) {
	c := qt.New(t)
	m := request.New(1, rand.New(rand.NewPCG(seed, seed)))
	id, _ := m.Start(epoch, request.Call{Deadline: epoch.Add(time.Second)})
	accepted, _ := lastAction[request.Send](m.Receive(epoch, offerPacket(id, 1)))
	c.Check(accepted.Packet.GetRequest(), qt.IsNotNil)
	cancelled, _ := lastAction[request.Send](m.Receive(epoch, offerPacket(id, 2)))
	c.Check(cancelled.Packet.GetCancel(), qt.IsNotNil)
	c.Check(cancelled.Packet.Token.Sequence, qt.Equals, uint64(2))
	c.Check(m.Receive(epoch, offerPacket(id, 1)), qt.HasLen, 0)
}

// Guards against an opening that cannot be encoded and would be repeated until the
// deadline, and against sending a call that is too large or past its deadline.
func TestInvalidCallsAreNotSent(t *testing.T) {
	for _, call := range []request.Call{
		{Class: "\xff", Deadline: epoch.Add(time.Second)},
		{Class: strings.Repeat("x", 2000), Deadline: epoch.Add(time.Second)},
		{Body: make([]byte, wire.MaxFragment*wire.MaxFragments+1), Deadline: epoch.Add(time.Second)},
		{Deadline: epoch},
	} {
		m := request.New(1, rand.New(rand.NewPCG(seed, seed)))
		_, actions := m.Start(epoch, call)
		end, _ := lastAction[request.Finished](actions)
		qt.Check(t, end.Err.NotRun(), qt.IsTrue)
		qt.Check(t, actions, qt.HasLen, 1)
	}
}

// Guards against an answer that reaches another request than its own, because a copy of it
// arrives late or carries the token of an earlier try, and against half an answer that
// finishes a request.
func TestForeignAndPartialAnswersDoNotFinish(t *testing.T) {
	c := qt.New(t)
	m := request.New(1, rand.New(rand.NewPCG(seed, seed)))
	answer := func(id, sequence uint64, index, count uint32, text string) *schema.CallerPacket {
		return &schema.CallerPacket{RequestId: id, Token: token(sequence), Body: &schema.CallerPacket_Answer{
			Answer: &schema.Fragment{Index: index, Count: count, Data: []byte(text), Status: 200}}}
	}
	first, _ := m.Start(epoch, request.Call{Deadline: epoch.Add(time.Second)})
	m.Receive(epoch, offerPacket(first, 1))
	end, finished := lastAction[request.Finished](m.Receive(epoch, answer(first, 1, 0, 1, "one")))
	c.Assert(finished, qt.IsTrue)
	c.Check(string(end.Response.Body), qt.Equals, "one")

	second, _ := m.Start(epoch, request.Call{Deadline: epoch.Add(time.Second)})
	m.Receive(epoch, offerPacket(second, 2))
	full := strings.Repeat("x", wire.MaxFragment)
	for _, p := range []*schema.CallerPacket{
		answer(first, 1, 0, 1, "one"),  // a late copy of the answer before
		answer(second, 1, 0, 1, "one"), // the token of another request
		answer(second, 2, 0, 2, full),  // the first half of its own answer
		answer(second, 2, 0, 2, full),
		answer(second, 2, 0, 1, "one"), // an answer of another length
	} {
		_, finished := lastAction[request.Finished](m.Receive(epoch, p))
		c.Check(finished, qt.IsFalse, qt.Commentf("%v", p))
	}
	end, finished = lastAction[request.Finished](m.Receive(epoch, answer(second, 2, 1, 2, "end")))
	c.Assert(finished, qt.IsTrue)
	c.Check(string(end.Response.Body), qt.Equals, full+"end")
}
