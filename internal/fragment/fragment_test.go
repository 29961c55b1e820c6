package fragment_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// Guards against fragments that produce a body with a gap or larger than its
// layout, and against counts that allocate more memory than the limit allows.
func TestReceiverRejectsWhatDoesNotFit(t *testing.T) {
	c := qt.New(t)
	c.Check(fragment.NewReceiver(0), qt.IsNil)
	c.Check(fragment.NewReceiver(wire.MaxFragments+1), qt.IsNil)
	full := make([]byte, wire.MaxFragment)
	for name, f := range map[string]*schema.Fragment{
		"short":       {Index: 0, Count: 2, Data: full[1:]},
		"long":        {Index: 1, Count: 2, Data: append(full, 0)},
		"empty last":  {Index: 1, Count: 2},
		"index":       {Index: 2, Count: 2, Data: full},
		"other count": {Index: 0, Count: 3, Data: full},
	} {
		fresh, ack := fragment.NewReceiver(2).Add(f)
		c.Check(fresh || ack, qt.IsFalse, qt.Commentf(name))
	}
}
