package offer_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

var (
	epoch       = time.Unix(1_700_000_000, 0)
	testService = offer.Service{ID: 7, Member: "shop"}
	testPeer    = offer.Peer{Caller: netip.MustParseAddrPort("192.0.2.1:4000")}
)

// testBench drives one machine on a manual clock.
type testBench struct {
	c         *qt.C
	now       time.Time
	admission *fakeAdmission
	machine   *offer.Machine
}

func newTestBench(t *testing.T, slots, room int) *testBench {
	admission := newFakeAdmission(slots, room, 2)
	settings := offer.Settings{Target: 3, Incarnation: 99}
	return &testBench{qt.New(t), epoch, admission, offer.New(settings, admission)}
}

func (b *testBench) open(id uint64, open *schema.Open) []offer.Action {
	if open.DeadlineMs == 0 {
		open.DeadlineMs = 10_000
	}
	return b.machine.Handle(b.now, testPeer, testService, &schema.CallerPacket{
		RequestId: id, Body: &schema.CallerPacket_Open{Open: open},
	})
}

func (b *testBench) token(id uint64, size int) *schema.Token {
	packets := sent(b.open(id, &schema.Open{Size: uint32(size)}))
	b.c.Assert(packets, qt.HasLen, 1)
	b.c.Assert(packets[0].GetOffer(), qt.IsNotNil)
	return packets[0].Token
}

func (b *testBench) fragment(id uint64, token *schema.Token, index, count uint32, data []byte) []offer.Action {
	return b.machine.Handle(b.now, testPeer, testService, &schema.CallerPacket{
		RequestId: id, Token: token,
		Body: &schema.CallerPacket_Request{Request: &schema.Fragment{Index: index, Count: count, Data: data}},
	})
}

func (b *testBench) cancel(id uint64, token *schema.Token) []offer.Action {
	return b.machine.Handle(b.now, testPeer, testService, &schema.CallerPacket{
		RequestId: id, Token: token, Body: &schema.CallerPacket_Cancel{Cancel: &schema.Cancel{}},
	})
}

func (b *testBench) advance(d time.Duration) []offer.Action {
	b.now = b.now.Add(d)
	return b.machine.Tick(b.now)
}

func sent(actions []offer.Action) []*schema.CallerPacket {
	return collect[offer.Send, *schema.CallerPacket](actions, func(s offer.Send) *schema.CallerPacket { return s.Packet })
}

func starts(actions []offer.Action) []uint64 {
	return collect[offer.StartRequest, uint64](actions, func(s offer.StartRequest) uint64 { return s.Sequence })
}

func collect[A any, B any](actions []offer.Action, f func(A) B) []B {
	var out []B
	for _, action := range actions {
		if a, ok := action.(A); ok {
			out = append(out, f(a))
		}
	}
	return out
}

func outcome(actions []offer.Action) schema.ErrorKind {
	for _, p := range sent(actions) {
		if p.GetOutcome() != nil {
			return p.GetOutcome().Kind
		}
		if p.GetRefusal() != nil {
			return p.GetRefusal().Kind
		}
	}
	return schema.ErrorKind_ERROR_KIND_NONE
}

// Guards against a duplicate request that runs again: while the first one runs,
// after its answer, after the answer was acknowledged and after its retention.
func TestDuplicateTokenNeverRunsAgain(t *testing.T) {
	b := newTestBench(t, 2, 10)
	token := b.token(1, 3)
	b.c.Assert(starts(b.fragment(1, token, 0, 1, []byte("bid"))), qt.DeepEquals, []uint64{1})
	again := b.fragment(1, token, 0, 1, []byte("bid"))
	b.c.Check(starts(again), qt.HasLen, 0)
	b.c.Check(sent(again)[0].GetAck().GetWhole(), qt.IsTrue)

	done := b.machine.BackendDone(b.now, 1, offer.Response{Status: 200, Body: []byte("ok")})
	b.c.Check(string(sent(done)[0].GetAnswer().Data), qt.Equals, "ok")
	b.now = b.now.Add(time.Second)
	b.c.Check(string(sent(b.fragment(1, token, 0, 1, []byte("bid")))[0].GetAnswer().Data), qt.Equals, "ok")

	b.machine.Handle(b.now, testPeer, testService, &schema.CallerPacket{RequestId: 1, Token: token,
		Body: &schema.CallerPacket_Ack{Ack: &schema.FragmentAck{OfAnswer: true, Whole: true}}})
	b.c.Check(b.machine.Stats().RetainedBytes, qt.Equals, 0)
	b.c.Check(outcome(b.fragment(1, token, 0, 1, []byte("bid"))), qt.Equals, schema.ErrorKind_UNKNOWN_OUTCOME)
	b.advance(offer.RetainAfterEnd)
	b.c.Check(b.machine.Stats().Retained, qt.Equals, 0)
	late := b.fragment(1, token, 0, 1, []byte("bid"))
	b.c.Check(outcome(late), qt.Equals, schema.ErrorKind_UNKNOWN_OUTCOME)
	b.c.Check(starts(late), qt.HasLen, 0)
}

// Guards against a token that becomes runnable, or is reported as not run, after
// its answer was evicted.
func TestEvictedAnswerIsUnknown(t *testing.T) {
	b := newTestBench(t, 2, 10)
	first := b.token(1, 1)
	big := make([]byte, 4<<20)
	for id := uint64(1); id <= 5; id++ {
		token := first
		if id > 1 {
			token = b.token(id, 1)
		}
		b.c.Assert(starts(b.fragment(id, token, 0, 1, []byte("x"))), qt.HasLen, 1)
		b.machine.BackendDone(b.now, token.Sequence, offer.Response{Status: 200, Body: big})
		b.c.Assert(b.machine.Stats().RetainedBytes <= offer.MaxRetainedBytes, qt.IsTrue)
	}
	late := b.fragment(1, first, 0, 1, []byte("x"))
	b.c.Check(outcome(late), qt.Equals, schema.ErrorKind_UNKNOWN_OUTCOME)
	b.c.Check(starts(late), qt.HasLen, 0)
}

// Guards against a token of an earlier incarnation that is reported as not run.
func TestOtherIncarnationIsUnknown(t *testing.T) {
	b := newTestBench(t, 1, 10)
	token := b.token(1, 1)
	token.Incarnation++
	b.c.Check(outcome(b.fragment(1, token, 0, 1, []byte("x"))), qt.Equals, schema.ErrorKind_UNKNOWN_OUTCOME)
	b.c.Check(outcome(b.cancel(1, token)), qt.Equals, schema.ErrorKind_UNKNOWN_OUTCOME)
}

// Guards against a cancellation after dispatch that is reported as not run, and
// against a cancelled request that starts when a slot becomes free.
func TestCancelBeforeAndAfterDispatch(t *testing.T) {
	b := newTestBench(t, 1, 10)
	running, queued := b.token(1, 1), b.token(2, 1)
	b.fragment(1, running, 0, 1, []byte("x"))
	b.c.Assert(starts(b.fragment(2, queued, 0, 1, []byte("x"))), qt.HasLen, 0)
	b.c.Check(outcome(b.cancel(2, queued)), qt.Equals, schema.ErrorKind_CANCELLED_NOT_RUN)
	actions := b.cancel(1, running)
	b.c.Check(outcome(actions), qt.Equals, schema.ErrorKind_CANCELLED)
	b.c.Check(collect(actions, func(c offer.CancelRequest) uint64 { return c.Sequence }), qt.DeepEquals, []uint64{1})
	b.c.Check(b.admission.running, qt.Equals, 1)
	b.c.Check(starts(b.machine.BackendDone(b.now, 1, offer.Response{Status: 200})), qt.HasLen, 0)
	b.c.Check(b.admission.running, qt.Equals, 0)
	b.c.Check(outcome(b.fragment(2, queued, 0, 1, []byte("x"))), qt.Equals, schema.ErrorKind_CANCELLED_NOT_RUN)
	b.c.Check(b.machine.Stats().PendingBytes, qt.Equals, 0)
}

// Guards against a request that is reported as not run although its deadline
// passed at the backend server, and against a slot that is freed before the
// backend server has finished.
func TestDeadlineAfterDispatch(t *testing.T) {
	b := newTestBench(t, 1, 10)
	token := b.token(1, 1)
	b.fragment(1, token, 0, 1, []byte("x"))
	b.c.Check(outcome(b.advance(10*time.Second)), qt.Equals, schema.ErrorKind_DEADLINE_EXCEEDED)
	b.advance(10 * time.Minute)
	b.c.Check(b.admission.running, qt.Equals, 1)
	b.machine.BackendDone(b.now, 1, offer.Response{Status: 200})
	b.c.Check(b.admission.running, qt.Equals, 0)
	b.advance(time.Second)
	b.c.Check(b.machine.Stats(), qt.Equals, offer.Stats{})
}

// Guards against a detail from the backend server that cannot be encoded, which
// would make the caller wait until its deadline.
func TestOutcomeAlwaysEncodes(t *testing.T) {
	b := newTestBench(t, 1, 10)
	b.fragment(1, b.token(1, 1), 0, 1, []byte("x"))
	failed := offer.Response{Kind: schema.ErrorKind_BACKEND_FAILED, Detail: strings.Repeat("\xffé", 2000)}
	_, err := wire.EncodeCaller(sent(b.machine.BackendDone(b.now, 1, failed))[0])
	b.c.Check(err, qt.IsNil)
}

// Guards against a reservation that leaks, and a request that runs late, after
// expiry, a deadline, a clock jump or draining.
func TestEndBeforeDispatch(t *testing.T) {
	for _, test := range []struct {
		name   string
		act    func(b *testBench)
		queued schema.ErrorKind // of a complete request behind a running one
		bare   schema.ErrorKind // of an offer without a fragment
	}{
		{"expiry", func(b *testBench) { b.advance(offer.OfferTTL) }, 0, schema.ErrorKind_OFFER_EXPIRED},
		{"deadline", func(b *testBench) { b.advance(10 * time.Second) }, schema.ErrorKind_REFUSED_DEADLINE, schema.ErrorKind_REFUSED_DEADLINE},
		{"clock jump", func(b *testBench) { b.machine.ClockJump(b.now) }, schema.ErrorKind_OFFER_EXPIRED, schema.ErrorKind_OFFER_EXPIRED},
		{"draining", func(b *testBench) { b.machine.SetDraining(b.now, true) }, 0, schema.ErrorKind_REFUSED_DRAINING},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBench(t, 1, 10)
			running, queued, bare := b.token(1, 1), b.token(2, 1), b.token(3, 1)
			b.fragment(1, running, 0, 1, []byte("x"))
			b.fragment(2, queued, 0, 1, []byte("x"))
			test.act(b)
			b.c.Check(outcome(b.fragment(2, queued, 0, 1, []byte("x"))), qt.Equals, test.queued)
			b.c.Check(outcome(b.fragment(3, bare, 0, 1, []byte("x"))), qt.Equals, test.bare)
			done := b.machine.BackendDone(b.now, 1, offer.Response{Status: 200})
			b.c.Check(len(starts(done)) == 1, qt.Equals, test.queued == 0)
		})
	}
}

// Guards against admitting openings that exceed a limit, that name this target as
// tried, that are too old, or that arrive while draining.
func TestRefusedOpenings(t *testing.T) {
	b := newTestBench(t, 1, 10)
	b.c.Check(outcome(b.open(1, &schema.Open{Size: wire.MaxFragment*wire.MaxFragments + 1})), qt.Equals, schema.ErrorKind_TOO_LARGE)
	b.c.Check(outcome(b.open(1, &schema.Open{Tried: []uint32{3}})), qt.Equals, schema.ErrorKind_REFUSED_NO_TARGET)
	old := testPeer
	old.Age = offer.MaxOpenAge + 1
	opening := &schema.CallerPacket{RequestId: 1, Body: &schema.CallerPacket_Open{Open: &schema.Open{DeadlineMs: 1}}}
	b.c.Check(outcome(b.machine.Handle(b.now, old, testService, opening)), qt.Equals, schema.ErrorKind_TOO_OLD)
	for id := uint64(1); id <= 6; id++ {
		b.token(id, 5_000_000-100_000)
	}
	b.c.Check(outcome(b.open(7, &schema.Open{Size: 4_900_000})), qt.Equals, schema.ErrorKind_REFUSED_OVERLOAD)
	b.machine.SetDraining(b.now, true)
	b.c.Check(outcome(b.open(8, &schema.Open{})), qt.Equals, schema.ErrorKind_REFUSED_DRAINING)
	b.c.Check(b.admission.reserved, qt.HasLen, 0)
	b.c.Check(b.machine.Stats().PendingBytes, qt.Equals, 0)
}

// Guards against a session that opens twice, delivers a message twice, keeps its
// connection after it ended, or whose packets get no error after it ended.
func TestSessionLifecycle(t *testing.T) {
	b := newTestBench(t, 1, 10)
	token := sent(b.open(1, &schema.Open{Session: true}))[0].Token
	ping := &schema.CallerPacket{RequestId: 1, Token: token, Body: &schema.CallerPacket_Ping{Ping: &schema.Ping{Sequence: 1}}}
	data := &schema.CallerPacket{RequestId: 1, Token: token, Body: &schema.CallerPacket_Data{Data: &schema.SessionData{Sequence: 1, Data: []byte("a")}}}
	var actions []offer.Action
	for range 2 {
		actions = append(actions, b.machine.Handle(b.now, testPeer, testService, ping)...)
		actions = append(actions, b.machine.Handle(b.now, testPeer, testService, data)...)
	}
	b.c.Check(collect(actions, func(o offer.OpenSession) uint64 { return o.Sequence }), qt.HasLen, 1)
	b.c.Check(collect(actions, func(d offer.DeliverSession) string { return string(d.Data) }), qt.DeepEquals, []string{"a"})
	b.c.Check(b.machine.SetDraining(b.now, true), qt.HasLen, 0)
	b.c.Check(b.machine.Stats().Sessions, qt.Equals, 1)
	b.c.Check(string(sent(b.machine.SessionOutput(b.now, 1, []byte("b")))[0].GetData().Data), qt.Equals, "b")
	closed := b.advance(offer.SessionIdleTimeout)
	b.c.Check(collect(closed, func(o offer.CloseSession) uint64 { return o.Sequence }), qt.HasLen, 1)
	b.c.Check(b.admission.openFlows, qt.Equals, 0)
	b.advance(time.Minute)
	b.c.Check(outcome(b.machine.Handle(b.now, testPeer, testService, ping)), qt.Equals, schema.ErrorKind_UNKNOWN_FLOW)
}
