package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// BenchmarkChangeWithView measures the table updates of a balancer for changes of
// the configuration and of the hosts. It uses the view of a failure detector with
// one host per target, since a stub would leave out the cost of the look-ups.
func BenchmarkChangeWithView(b *testing.B) {
	for _, targets := range []int{5_100, 17_000, 51_000} {
		c := sizedConfig(targets)
		list := &schema.HostList{Version: 1}
		for i, target := range c.GetTargets() {
			list.Hosts = append(list.Hosts, &schema.Host{
				Name: target.GetHost(), Zone: fmt.Sprintf("z%d", i%15), Address: target.GetAgentAddress(),
				State: schema.HostState_LIVE, Role: schema.Role_AGENT,
			})
		}
		hosts, err := hostlist.New(list)
		if err != nil {
			b.Fatal(err)
		}
		detector := membership.New(membership.Settings{Host: "h0", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
		detector.SetHosts(time.Unix(1, 0), hosts)
		usable := detector.View().Usable
		if !usable("h1") {
			b.Fatal("host h1 is not usable in the view of the detector")
		}
		s, err := config.NewSnapshot(c)
		if err != nil {
			b.Fatal(err)
		}
		table := New(s, usable, Candidates)
		b.Run(fmt.Sprintf("config/%d", targets), func(b *testing.B) {
			for b.Loop() {
				sink = New(s, usable, Candidates)
			}
		})
		b.Run(fmt.Sprintf("hosts/%d", targets), func(b *testing.B) {
			for b.Loop() {
				sink = table.WithHosts(usable)
			}
		})
		next := proto.Clone(s.Config()).(*schema.Config)
		next.Revision++
		next.Digest = nil
		next.Targets = slices.Clone(s.Config().GetTargets())
		next.Services = s.Config().GetServices()
		next.Members = s.Config().GetMembers()
		next.Targets[7] = proto.Clone(next.Targets[7]).(*schema.Target)
		next.Targets[7].Capacity++
		after, err := config.NewSnapshot(next)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("one target/%d", targets), func(b *testing.B) {
			for b.Loop() {
				sink = table.WithConfig(after, usable)
			}
		})
		changed := []string{"h1", "h2", "h3", "h4"}
		b.Run(fmt.Sprintf("changed/%d", targets), func(b *testing.B) {
			for b.Loop() {
				sink = table.WithChangedHosts(changed, usable)
			}
		})
	}
}
