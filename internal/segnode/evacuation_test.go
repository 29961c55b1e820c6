package segnode

import (
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/reports"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// Guards against an agent that takes openings of an evacuated zone: because a balancer has an older
// list or none, because a ping is meant for another service, or because its address goes to
// another service.
func TestAgentKeepsTheEvacuation(t *testing.T) {
	c := qt.New(t)
	logger, err := telemetry.NewDecisionLog(io.Discard)
	c.Assert(err, qt.IsNil)
	c.Cleanup(logger.Close)
	a := &Agent{
		options: AgentOptions{Common: Common{Zone: "z", Logger: logger}, Service: "web"}, clock: newClock(), tracker: occupancy.New("web"),
		byHost: make(map[netip.Addr]uint8), reports: reports.NewSchedule(),
		metrics: telemetry.NewSegmentMetrics("agent/evacuation-test", occupancy.RefusalNames()...),
	}
	backend := netip.MustParseAddrPort("127.0.0.3:80")
	a.backend.Store(&backend)
	a.coverage = occupancy.NewCoverage(0, 0)
	ping := func(service string, statement *schema.LinkEvacuation) {
		a.handlePing(&schema.LinkPing{ServiceTag: uint32(segment.TagOf(service)), Evacuation: statement}, netip.MustParseAddrPort("127.0.0.2:7000"))
	}
	admit := func() occupancy.Refusal {
		head := segment.Head{Opening: true}
		return a.tracker.Admit(time.Second, head, segment.Mark{Tag: a.tracker.Tag()})
	}
	ping("web", &schema.LinkEvacuation{Epoch: 1, Revision: 9})
	c.Check(admit(), qt.Equals, occupancy.Accepted)
	ping("web", &schema.LinkEvacuation{Epoch: 1, Revision: 10, Evacuated: true})
	c.Check(a.urgent, qt.IsTrue)
	ping("web", &schema.LinkEvacuation{Epoch: 1, Revision: 9})
	ping("web", nil)
	ping("mail", &schema.LinkEvacuation{Epoch: 1, Revision: 11})
	c.Check(admit(), qt.Equals, occupancy.Evacuated)
	a.Reconfigure("mail", backend)
	c.Check(admit(), qt.Equals, occupancy.Evacuated)
	ping("mail", &schema.LinkEvacuation{Epoch: 1, Revision: 12})
	c.Check(admit(), qt.Equals, occupancy.Accepted)
}
