package explainlog

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const logs = `  12.0 b1 {"time":"2026-12-04T10:00:00.000Z","level":"info","host":"b1","event":220,"name":"routes_accepted","version":4,"previous":3,"routes":2,"source":"store"}
noise of another program
{"time":"2026-12-04T10:00:01.000Z","level":"info","host":"b1","event":600,"name":"flow_placed","flow":"1.1.1.1:5>2.2.2.2:80","reason":"opened","target":"t1","pending":2,"omitted":7}
{"time":"2026-12-04T10:00:01.010Z","level":"info","host":"a1","event":614,"name":"request_handed","request":"r1","flow":"1.1.1.1:5>2.2.2.2:80","pending":3}
{"time":"2026-12-04T10:00:01.900Z","level":"warn","host":"a1","event":615,"name":"request_abandoned","request":"r1","flow":"1.1.1.1:5>2.2.2.2:80","waited":"890ms"}
{"time":"2026-12-04T10:00:01.200Z","level":"warn","host":"a1","event":613,"name":"target_responds","responds":false,"pending":3}
{"time":"2026-12-04T10:00:01.300Z","level":"warn","host":"a2","event":613,"name":"target_responds","responds":false,"pending":1}
{"time":"2026-12-04T09:59:59.500Z","level":"info","host":"b1","event":221,"name":"target_changed","target":"t1","change":"added","revision":9,"source":"store"}
{"time":"2026-12-04T09:59:59.500Z","level":"info","host":"b1","event":221,"name":"target_changed","target":"t2","change":"added","revision":9,"source":"store"}
{"time":"2026-12-04T09:00:00.000Z","level":"info","host":"b1","event":220,"name":"routes_accepted","version":3}
{"time":"2026-12-04T10:00:01.010Z","level":"info","host":"a2","event":614,"name":"request_handed","request":"r2","flow":"1.1.1.1:6>2.2.2.2:80","pending":3}
`

// Guards against a report that lacks the opening, whose line carries no request
// identifier, or the state of the processes involved, or that contains the
// state of other processes.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	lines, skipped, err := Read(strings.NewReader(logs))
	c.Assert(err, qt.IsNil)
	c.Check(skipped, qt.Equals, 1)
	report, err := Explain(lines, "r1")
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(report.Write(&out), qt.IsNil)
	c.Check(out.String(), qt.Equals, `request r1
flows 1.1.1.1:5>2.2.2.2:80

decisions
  10:00:01.000  b1                     600 flow_placed flow=1.1.1.1:5>2.2.2.2:80 reason=opened target=t1 pending=2
  10:00:01.010  a1                     614 request_handed request=r1 flow=1.1.1.1:5>2.2.2.2:80 pending=3
  10:00:01.900  a1                     615 request_abandoned request=r1 flow=1.1.1.1:5>2.2.2.2:80 waited=890ms

beliefs of the hosts involved
  09:59:59.500  b1                     221 target_changed target=t1 change=added revision=9 source=store
  10:00:00.000  b1                     220 routes_accepted version=4 previous=3 routes=2 source=store
  10:00:01.200  a1                     613 target_responds responds=false pending=3

1 changes of other targets are not shown

these hosts left out 7 lines in this time
`)
	byFlow, err := Explain(lines, "1.1.1.1:6>2.2.2.2:80")
	c.Assert(err, qt.IsNil)
	c.Check(byFlow.Lines, qt.HasLen, 1)
	_, err = Explain(lines, "")
	c.Check(err, qt.ErrorMatches, "request identifier or flow is empty")
	_, err = Explain(lines, "r9")
	c.Check(err, qt.ErrorMatches, `no line names "r9".*`)
}
