package segment

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against marks and flows that change when encoded and decoded.
func TestRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Mark{
			Tag:     Tag(rapid.Uint16().Draw(t, "tag")),
			Attempt: uint8(rapid.IntRange(0, maxAttempt).Draw(t, "attempt")),
			Search:  rapid.Bool().Draw(t, "search"),
			Sender:  rapid.Uint8().Draw(t, "sender"),

			Busy:     rapid.Bool().Draw(t, "busy"),
			Priority: uint8(rapid.IntRange(0, MaxPriority).Draw(t, "priority")),
		}
		switch code := rapid.IntRange(noBudgetCode, maxBudgetCode).Draw(t, "budget"); code {
		case lateCode:
			m.Late = true
		default:
			m.Budget = budgets[code]
		}
		if got := Unpack(m.Pack()); got != m {
			t.Fatalf("%+v became %+v", m, got)
		}
		f := Flow{
			Caller:  Endpoint{[4]byte{1, 2, 3, rapid.Uint8().Draw(t, "caller")}, rapid.Uint16().Draw(t, "port")},
			Service: Endpoint{[4]byte{5, 6, 7, rapid.Uint8().Draw(t, "service")}, rapid.Uint16().Draw(t, "service port")},
		}
		encoded := f.Encode()
		if got, ok := DecodeFlow(encoded[:]); !ok || got != f {
			t.Fatalf("%v became %v", f, got)
		}
	})
}

// Guards against a budget that is rounded up, so that an agent takes an opening that
// cannot be answered in time, or rounded down so far that it refuses one that can.
func TestBudgetIsRoundedDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := time.Duration(rapid.Int64Range(1, int64(25*time.Second)).Draw(t, "budget"))
		got := Unpack(Mark{Budget: budget}.Pack())
		if got.Budget > budget || got.Late != (budget < minBudget) || !got.Late && float64(budget) > budgetStep*float64(got.Budget) {
			t.Fatalf("%v became %+v", budget, got)
		}
	})
}

// Guards against services that share a tag, against the tag 0, and against endpoints
// from IPv6 addresses or from truncated flows.
func TestTagAndEndpoint(t *testing.T) {
	c := qt.New(t)
	c.Check(TagOf("web"), qt.Not(qt.Equals), TagOf("api"))
	c.Check(TagOf(""), qt.Not(qt.Equals), Tag(0))
	_, ok := EndpointFrom(netip.MustParseAddrPort("[2001:db8::1]:1"))
	c.Check(ok, qt.IsFalse)
	_, ok = DecodeFlow([]byte{1})
	c.Check(ok, qt.IsFalse)
}

// An agent that read the patience of an opening too long would let it wait beyond the time at
// which its caller gives up.
func TestPatienceOfOpening(t *testing.T) {
	c := qt.New(t)
	for _, m := range []Mark{
		{Tag: 9, Patience: 1400 * time.Millisecond, MayWait: true, Budget: 200 * time.Millisecond, Priority: 2},
		{Tag: 9, Cold: true, Busy: true, Attempt: 3}, {Tag: 9, Cold: true, MayWait: true, Patience: 1400 * time.Millisecond},
		{Tag: 9, Patience: 700 * time.Millisecond, Late: true},
		{Tag: 9, Patience: 3 * time.Millisecond, MayWait: true},
		{Tag: 9},
	} {
		decoded := UnpackOpening(m.PackOpening())
		c.Check(decoded.MayWait, qt.Equals, m.MayWait)
		c.Check(decoded.Cold, qt.Equals, m.Cold)
		c.Check(decoded.Busy, qt.Equals, m.Busy)
		c.Check(decoded.Patience <= m.Patience, qt.IsTrue, qt.Commentf("%s, decoded %s", m.Patience, decoded.Patience))
		c.Check(decoded.Patience > m.Patience*7/8 || m.Patience < 5*time.Millisecond, qt.IsTrue)
		c.Check(decoded.Late, qt.Equals, m.Late)
		c.Check(decoded.Sender, qt.Equals, uint8(0))
	}
}
