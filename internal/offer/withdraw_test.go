package offer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// outcomeOf returns the kind of the outcome that the actions send.
func outcomeOf(actions []offer.Action) schema.ErrorKind {
	for _, action := range actions {
		if send, ok := action.(offer.Send); ok && send.Packet.GetOutcome() != nil {
			return send.Packet.GetOutcome().GetKind()
		}
	}
	return schema.ErrorKind_ERROR_KIND_NONE
}

// Guards against a graceful stop or takeover after which the caller of a withdrawn
// offer waits until its deadline, or receives UNKNOWN_OUTCOME although the request
// was never run.
func TestWithdrawnOfferIsAnswered(t *testing.T) {
	c := qt.New(t)
	machine := func() *offer.Machine {
		return offer.New(offer.Settings{Target: 1, Incarnation: 5}, newFakeAdmission(1, 3, 1))
	}
	m := machine()
	open := &schema.CallerPacket{RequestId: 9, Body: &schema.CallerPacket_Open{Open: &schema.Open{DeadlineMs: 1000, Size: 1}}}
	m.Handle(epoch, testPeer, testService, open)
	m.SetDraining(epoch, true)
	c.Check(m.Unfinished(epoch), qt.Equals, 1)
	c.Check(m.Unfinished(epoch.Add(offer.OfferTTL)), qt.Equals, 0)
	request := &schema.CallerPacket{
		RequestId: 9,
		Token:     &schema.Token{Target: 1, Incarnation: 5, Sequence: 1},
		Body:      &schema.CallerPacket_Request{Request: &schema.Fragment{Count: 1, Data: []byte("x")}},
	}
	c.Check(outcomeOf(m.Handle(epoch, testPeer, testService, request)), qt.Equals, schema.ErrorKind_REFUSED_DRAINING)
	c.Check(m.Unfinished(epoch), qt.Equals, 0)

	successor := machine()
	successor.Import(epoch, m.Export(epoch))
	c.Check(outcomeOf(successor.Handle(epoch, testPeer, testService, request)), qt.Equals, schema.ErrorKind_REFUSED_DRAINING)
	c.Check(successor.Stats().Offers, qt.Equals, 0)
	successor.Tick(epoch.Add(offer.RetainAfterEnd))
	c.Check(successor.Stats().Retained, qt.Equals, 0)
}
