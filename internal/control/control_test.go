package control

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// fixedPlatform is a Platform with one configuration in two parts.
type fixedPlatform struct {
	parts map[string]*schema.Part
	hosts *schema.HostList
}

func (p *fixedPlatform) Index(ctx context.Context, after uint64, wait time.Duration) (*schema.Index, error) {
	if after >= 1 {
		sleep(ctx, wait)
		return nil, nil
	}
	index := &schema.Index{Revision: 1, HashKey: make([]byte, 16)}
	for _, name := range []string{"members", "targets"} {
		index.Parts = append(index.Parts, &schema.PartRef{Name: name, Digest: config.PartDigest(p.parts[name])})
	}
	return index, nil
}

func (p *fixedPlatform) Part(_ context.Context, name string) (*schema.Part, error) {
	return p.parts[name], nil
}

func (p *fixedPlatform) Hosts(ctx context.Context, after uint64, wait time.Duration) (*schema.HostList, error) {
	if after >= p.hosts.Version {
		sleep(ctx, wait)
		return nil, nil
	}
	return p.hosts, nil
}

// Guards against a Control that loses frames, reads or callbacks: two processes
// become ready with parts read from the service, and the announcement of one
// reaches the view of the other.
func TestTwoProcessesJoinAndAnnounce(t *testing.T) {
	c := qt.New(t)
	whole := testConfig(1, 4)
	platform := &fixedPlatform{
		parts: map[string]*schema.Part{
			"members": {Name: "members", Members: whole.Members, Services: whole.Services},
			"targets": {Name: "targets", Targets: whole.Targets},
		},
		hosts: &schema.HostList{Version: 1},
	}
	names := []string{"host-a", "host-b"}
	addrs := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")}
	for i, name := range names {
		platform.hosts.Hosts = append(platform.hosts.Hosts, &schema.Host{Name: name, Zone: "z", Address: addrs[i].String(), State: schema.HostState_LIVE})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	controls := make([]*Control, 2)
	revisions := make(chan uint64, 16)
	views := make(chan *membership.View, 1024)
	for i := range controls {
		settings := Settings{Host: names[i], Store: config.NewStore(time.Second), Platform: platform}
		settings.Send = func(to netip.AddrPort, f *schema.Frame) {
			for j := range addrs {
				if addrs[j] == to {
					controls[j].Receive(addrs[i], f)
				}
			}
		}
		settings.OnConfig = func(s *config.Snapshot) { revisions <- s.Revision() }
		if i == 1 {
			settings.OnView = func(v *membership.View) { views <- v }
		}
		var err error
		controls[i], err = New(settings)
		c.Assert(err, qt.IsNil)
	}
	for _, control := range controls {
		running.Go(func() { control.Run(ctx) })
	}
	for _, control := range controls {
		<-control.Ready()
		c.Check(<-revisions, qt.Equals, uint64(1))
	}
	controls[0].Announce(schema.HostState_LEAVING)
	for v := range views {
		if !v.Usable(names[0]) {
			c.Check(v.State(names[0]), qt.Equals, schema.HostState_LEAVING)
			break
		}
	}
	c.Check(controls[0].Traffic().Sent["announce"].Messages > 0, qt.IsTrue)
	cancel()
	running.Wait()
}
