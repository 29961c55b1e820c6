package lifecycle

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that returns from Draining to Serving because its
// first configuration is confirmed after the drain began.
func TestReadyAfterDrainHasNoEffect(t *testing.T) {
	c := qt.New(t)
	var changes []State
	m := New(func(_, to State) { changes = append(changes, to) })
	c.Assert(m.Drain(), qt.IsNil)
	c.Assert(m.Ready(), qt.IsNil)
	c.Check(m.State(), qt.Equals, Draining)
	c.Assert(m.Stop(), qt.IsNil)
	c.Check(m.Drain(), qt.ErrorMatches, "process state stopped: .*")
	c.Check(changes, qt.DeepEquals, []State{Draining, Stopped})
}
