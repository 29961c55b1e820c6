package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against the loss of one of three availability zones making all other
// processes doubt their own links, which would keep new flows going to the lost
// zone.
func TestZoneLossCausesNoLinkDoubt(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 61, 90, 3)
	f.startAll()
	var victims []*proc
	for _, p := range f.procs {
		if p.zone == "zone-00" {
			p.up = false
			victims = append(victims, p)
		}
	}
	unusable := func() bool {
		for _, victim := range victims {
			if !f.usableNowhere(victim)() {
				return false
			}
		}
		return true
	}
	took := f.runUntil(2*failureLimit, unusable)
	t.Logf("zone dead everywhere after %v", took)
	c.Check(took <= 2*failureLimit, qt.IsTrue)
	for _, p := range f.procs {
		if p.up {
			c.Check(p.lastView.Doubt(), qt.IsFalse, qt.Commentf("%s", p.name))
		}
	}
}
