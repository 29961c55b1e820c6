package steering

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// otherEntry returns an entry at the host of a target with a later start.
func otherEntry(t registry.Target, service string, port uint16) registry.Target {
	t.ID, t.Service, t.Born = "other", service, t.Born+1000
	t.Address = netip.AddrPortFrom(t.Address.Addr(), port)
	return t
}

// identify reports what the agent of a target says.
func (f *fixture) identify(t registry.Target) *Target {
	named, _ := f.engine.View().Identify(t.Address.Addr(), segment.IdentityOf(t.Service, t.Address.Port()))
	return named
}

// Guards against a target that is hidden by an entry of another service on its host, such as
// an exporter of metrics: its open flows were reset (review/2: FLOW).
func TestUnnamedServiceDoesNotHideATarget(t *testing.T) {
	for _, port := range []uint16{80, 9100} {
		t.Run(fmt.Sprintf("port %d", port), func(t *testing.T) {
			f := newFixture(t, 1)
			owner := f.firstTarget(opening(1, 0))
			f.targets = append(f.targets, otherEntry(f.targets[0], "exporter", port))
			f.setView(routes(1, "web"), 2)
			f.c.Check(f.targetOf(0), qt.Equals, owner)
			v := f.engine.Segment(f.now, data(1))
			f.c.Assert(v.Action, qt.Equals, Forward)
			f.c.Check(v.Targets()[0], qt.Equals, owner)
			f.c.Check(f.engine.View().Targets(), qt.HasLen, 1)
			f.c.Check(f.firstTarget(opening(2, 0)), qt.Equals, owner)
		})
	}
}

// Guards against entries of services in use, or of the target's own service at another port,
// that take the place of the target which the agent on the host names.
func TestAgentSaysWhichTargetIsOnItsHost(t *testing.T) {
	for _, other := range []struct {
		service string
		port    uint16
	}{{"feed", 80}, {"feed", 9100}, {"web", 9100}} {
		t.Run(fmt.Sprintf("%s %d", other.service, other.port), func(t *testing.T) {
			f := newFixture(t, 1)
			f.identify(f.targets[0])
			owner := f.firstTarget(opening(1, 0))
			f.targets = append(f.targets, otherEntry(f.targets[0], other.service, other.port))
			f.targets[0].Draining = true
			f.setView(routes(1, "web", "feed"), 2)
			f.c.Check(f.targetOf(0), qt.Equals, owner)
			f.c.Check(f.firstTarget(data(1)), qt.Equals, owner)
			f.c.Check(owner.acceptsFlows(), qt.IsFalse, qt.Commentf("the target drains"))
			for i := range 20 {
				v := f.engine.Segment(f.now, opening(10+i, 0))
				f.c.Check(v.Targets(), qt.HasLen, 0, qt.Commentf("the other entry gets an opening: %v", v))
			}
			f.c.Check(f.identify(f.targets[0]), qt.Equals, owner)
		})
	}
}

// Guards against a balancer that starts after the other entry, and guesses before it has heard
// the agent: openings wait or go elsewhere, and no open flow is reset.
func TestEntriesThatDisagreeWaitForTheAgent(t *testing.T) {
	f := &fixture{c: qt.New(t), engine: New("z0", 0)}
	f.targets = []registry.Target{target(0, "web", "z0")}
	f.targets = append(f.targets, otherEntry(f.targets[0], "feed", 9100))
	f.now = firstReportTimeout
	f.setView(routes(1, "web", "feed"), 1)
	f.c.Check(f.targetOf(0), qt.IsNil)
	f.now += firstReportTimeout
	v := f.engine.Segment(f.now, opening(1, 0))
	f.c.Check(v.Targets(), qt.HasLen, 0)
	f.c.Check(f.engine.Segment(f.now, data(2)).Action, qt.Equals, Query)
	for range 2 * maxQueryRounds {
		f.now += requeryInterval
		f.engine.DueSearches(f.now)
		v := f.engine.Segment(f.now, data(2))
		f.c.Assert(v.Action, qt.Not(qt.Equals), Reset)
		f.c.Assert(v.Targets(), qt.HasLen, 0)
	}
	f.c.Check(f.engine.View().Pinged(), qt.HasLen, 1)
	owner := f.identify(f.targets[0])
	f.c.Assert(owner, qt.IsNotNil)
	f.c.Check(owner.Info.ID, qt.Equals, "t0")
	f.c.Check(f.targetOf(0), qt.Equals, owner)
	owner.Report(f.now, Report{Complete: true})
	f.c.Check(f.firstTarget(opening(3, 0)), qt.Equals, owner)
}

// Guards against flows that stay with the target of a host whose address another service has
// taken over: its agent names the other one before the old entry is gone.
func TestAgentNamesTheNextServiceAtAnAddress(t *testing.T) {
	f := newFixture(t, 2)
	f.identify(f.targets[0])
	first := f.targetOf(0)
	next := otherEntry(f.targets[0], "feed", 80)
	f.targets = append(f.targets, next)
	f.setView(routes(1, "web", "feed"), 2)
	f.engine.SetOwner(f.now, flowOf(1), first)
	f.c.Check(f.firstTarget(data(1)), qt.Equals, first)
	named, newlyDisowned := f.engine.View().Identify(next.Address.Addr(), segment.IdentityOf("feed", 80))
	f.c.Assert(named, qt.IsNotNil)
	f.c.Check(named.Info.Service, qt.Equals, "feed")
	f.c.Assert(newlyDisowned, qt.HasLen, 1)
	f.c.Check(newlyDisowned[0], qt.Equals, first)
	f.c.Check(f.targetOf(0), qt.Equals, named)
	f.c.Check(f.engine.Segment(f.now, data(1)).Action, qt.Equals, Query, qt.Commentf("the flow is searched for"))
	for i := range 20 {
		f.c.Check(f.firstTarget(opening(10+i, 0)), qt.Not(qt.Equals), first)
	}
}

// Guards against a service at a reused address whose name has the tag of the former service:
// only the hash of the name tells them apart.
func TestServicesWithTheSameTag(t *testing.T) {
	f := newFixture(t, 1)
	identity := segment.IdentityOf("web", 80)
	identity.Service++
	named, newlyDisowned := f.engine.View().Identify(f.targets[0].Address.Addr(), identity)
	f.c.Check(named, qt.IsNil)
	f.c.Check(newlyDisowned, qt.HasLen, 1)
	v := f.engine.Segment(f.now, opening(1, 0))
	f.c.Check(v.Targets(), qt.HasLen, 0)
}

// Guards against a report that names less than an earlier one and so undoes it: only reports
// that follow a ping name the port.
func TestShortIdentityKeepsTheFullOne(t *testing.T) {
	f := newFixture(t, 1)
	f.identify(f.targets[0])
	owner := f.targetOf(0)
	f.targets = append(f.targets, otherEntry(f.targets[0], "web", 9100))
	f.setView(routes(1, "web"), 2)
	named, newlyDisowned := f.engine.View().Identify(owner.Agent.Addr(), segment.Identity{Tag: segment.TagOf("web")})
	f.c.Check(named, qt.Equals, owner)
	f.c.Check(newlyDisowned, qt.HasLen, 0)
	named, _ = f.engine.View().Identify(owner.Agent.Addr(), segment.Identity{Tag: segment.TagOf("feed")})
	f.c.Check(named, qt.IsNil, qt.Commentf("another service"))
}

// Guards against a target that is not used because the address in its entry is not the one at
// which its agent reaches it.
func TestEntryWithAnotherPort(t *testing.T) {
	f := newFixture(t, 1)
	named, newlyDisowned := f.engine.View().Identify(f.targets[0].Address.Addr(), segment.IdentityOf("web", 8080))
	f.c.Check(named, qt.Equals, f.targetOf(0))
	f.c.Check(newlyDisowned, qt.HasLen, 0)
}

// Guards against a doubted link because of entries for hosts without an agent.
func TestUnnamedServicesDoNotCountAsSilent(t *testing.T) {
	f := newFixture(t, 2)
	for i := range 5 {
		f.targets = append(f.targets, target(100+i, "exporter", "z0"))
	}
	f.setView(routes(1, "web"), 2)
	f.now += 2 * ReportTimeout
	f.reportIdle()
	f.engine.Tick(f.now, true)
	f.c.Check(f.engine.LinkDoubted(), qt.IsFalse)
	named := routes(2, "web")
	named.Services = []string{"web", "exporter"}
	f.setView(named, 3)
	f.c.Check(f.engine.View().Targets(), qt.HasLen, 7)
}

// Guards against a doubted link, and so a balancer out of rotation, because of entries of a
// service in use that name hosts without an agent.
func TestEntriesWithoutAgentsRaiseNoDoubt(t *testing.T) {
	f := newFixture(t, 2)
	for i := range 5 {
		f.targets = append(f.targets, target(100+i, "web", "z0"))
	}
	f.setView(routes(1, "web"), 2)
	f.now += 2 * ReportTimeout
	for i := range 2 {
		f.targetOf(i).Report(f.now, Report{Complete: true})
	}
	f.engine.Tick(f.now, true)
	f.c.Check(f.engine.LinkDoubted(), qt.IsFalse)
	f.now += 2 * ReportTimeout
	f.engine.Tick(f.now, true)
	f.c.Check(f.engine.LinkDoubted(), qt.IsTrue, qt.Commentf("targets that have reported are silent"))
	f = newFixture(t, 0)
	f.targets = []registry.Target{target(0, "web", "z0")}
	f.setView(routes(1, "web"), 2)
	f.now += 2 * ReportTimeout
	f.engine.Tick(f.now, true)
	f.c.Check(f.engine.LinkDoubted(), qt.IsTrue, qt.Commentf("none has ever reported"))
}
