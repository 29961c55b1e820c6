package errkind

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against a kind added to the schema without an answer in the table.
func TestEveryKindHasAnAnswer(t *testing.T) {
	c := qt.New(t)
	for number, name := range schema.ErrorKind_name {
		kind := schema.ErrorKind(number)
		if kind == schema.ErrorKind_ERROR_KIND_NONE {
			continue
		}
		_, ok := table[kind]
		c.Check(ok, qt.IsTrue, qt.Commentf("kind %s", name))
	}
}

// Guards against a retry of work that may have run.
func TestRetryElsewhereOnlyWhenNotRun(t *testing.T) {
	c := qt.New(t)
	for kind, answer := range table {
		if answer.RetryElsewhere {
			c.Check(answer.Ran, qt.Equals, RanNo, qt.Commentf("kind %s", kind))
		}
	}
}
