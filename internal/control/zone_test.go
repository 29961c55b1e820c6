package control

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against the loss of one of three availability zones that makes all other
// processes doubt their own links, so that new flows go on to the dead zone.
func TestOneOfThreeZonesFails(t *testing.T) {
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
	gone := func() bool {
		for _, victim := range victims {
			if !f.usableNowhere(victim)() {
				return false
			}
		}
		return true
	}
	took := f.until(2*failureLimit, gone)
	t.Logf("zone dead everywhere after %v", took)
	c.Check(took <= 2*failureLimit, qt.IsTrue)
	for _, p := range f.procs {
		if p.up {
			c.Check(p.seen.Doubt(), qt.IsFalse, qt.Commentf("%s", p.name))
		}
	}
}
