package errkind

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against a kind that is added to the schema but not to the table.
func TestEveryKindIsInTheTable(t *testing.T) {
	c := qt.New(t)
	for number, name := range schema.ErrorKind_name {
		kind := schema.ErrorKind(number)
		if kind == schema.ErrorKind_ERROR_KIND_NONE {
			continue
		}
		_, ok := infos[kind]
		c.Check(ok, qt.IsTrue, qt.Commentf("kind %s", name))
	}
}

// Guards against a retry at another target of work that may have run.
func TestRetryElsewhereOnlyIfNotRun(t *testing.T) {
	c := qt.New(t)
	for kind, info := range infos {
		if info.RetryElsewhere {
			c.Check(info.Ran, qt.Equals, RanNo, qt.Commentf("kind %s", kind))
		}
	}
}
