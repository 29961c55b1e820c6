package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
	_ "github.com/peridotstall/peridotstall/internal/testseed"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testName(i int) string { return fmt.Sprintf("host-%05d", i) }

func testHosts(t testing.TB, size, zones int) *hostlist.Set {
	list := &schema.HostList{Version: 1}
	for i := range size {
		list.Hosts = append(list.Hosts, &schema.Host{
			Name: testName(i), Zone: fmt.Sprintf("zone-%02d", i%zones),
			Address: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), State: schema.HostState_LIVE,
		})
	}
	set, err := hostlist.New(list)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func testDetector(t testing.TB, hosts *hostlist.Set, at int) *Detector {
	d := New(Settings{Host: hosts.At(at).Name, Incarnation: 5}, rand.New(rand.NewPCG(31, 0)))
	d.SetHosts(epoch, hosts)
	return d
}

// Guards against views that diverge permanently because events arrived in a
// different order or twice.
func TestEventOrderDoesNotMatter(t *testing.T) {
	hosts := testHosts(t, 8, 2)
	rapid.Check(t, func(t *rapid.T) {
		var events []event
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			events = append(events, event{
				id:          hosts.At(rapid.IntRange(1, 7).Draw(t, "host")).ID,
				incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				sequence:    uint64(rapid.IntRange(0, 3).Draw(t, "sequence")),
				state:       schema.HostState(rapid.IntRange(1, 3).Draw(t, "state")),
			})
		}
		a, b := &Detector{hosts: hosts}, &Detector{hosts: hosts}
		a.events.newest, b.events.newest = map[hostlist.ID]entry{}, map[hostlist.ID]entry{}
		for _, e := range events {
			a.apply(epoch, e)
		}
		for _, e := range append(rapid.Permutation(events).Draw(t, "order"), events[0]) {
			b.apply(epoch, e)
		}
		if a.EventDigest() != b.EventDigest() || !maps.Equal(a.events.newest, b.events.newest) {
			t.Fatalf("%v in one order, %v in another", a.events.newest, b.events.newest)
		}
	})
}

// Guards against a pause of the process being counted as lost probes. Its peers
// have missed two probes before the pause, and the reply to the third may be
// dropped while the socket is not read.
func TestPauseDoesNotCountAsLostProbes(t *testing.T) {
	c := qt.New(t)
	d := testDetector(t, testHosts(t, 20, 2), 3)
	now := epoch
	for d.probes.order[0].lost < suspectAfterLost-1 {
		now = now.Add(100 * time.Millisecond)
		d.Tick(now)
	}
	now = now.Add(30 * time.Second)
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		d.Tick(now)
	}
	for _, p := range d.probes.order {
		c.Check(p.suspect, qt.IsFalse)
	}
}

// Guards against forwarding the verdicts about a failed zone of the design size
// all at once, and against announcements queued behind them.
func TestVerdictsOfFailedZoneAreRateLimited(t *testing.T) {
	c := qt.New(t)
	hosts := testHosts(t, 57_000, 15)
	d := testDetector(t, hosts, int(hosts.Zone(0)[200]))
	var batch []queuedEvent
	lost := hosts.Zone(1)
	for _, i := range lost[1:] {
		batch = append(batch, queuedEvent{event: event{id: hosts.At(int(i)).ID, incarnation: 1 << 40, sequence: 2, state: schema.HostState_DEAD}})
	}
	for len(batch) > 0 {
		n := min(len(batch), batchEvents)
		d.receiveBatch(epoch, hosts.At(1).Addr, hopTree, encodeBatch(batch[:n]))
		batch = batch[n:]
	}
	// Verdicts of the last stripe that this process forwards are sent last.
	var leaving hostlist.ID
	for _, i := range hosts.Zone(2) {
		id := hosts.At(int(i)).ID
		if len(d.currentTree().Children(stripe(id))) > 0 && (leaving == 0 || stripe(id) >= stripe(leaving)) {
			leaving = id
		}
	}
	forwarded := false
	announced := encodeBatch([]queuedEvent{{event: event{id: leaving, incarnation: 9, sequence: 2, state: schema.HostState_LEAVING}}})
	now, sent := epoch, 0
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		if i == 1 {
			d.receiveBatch(now, hosts.At(1).Addr, hopTree, announced)
		}
		for _, a := range d.flush(now) {
			s := a.(Send)
			data := s.Frame.GetConfigChunk().GetData()
			forwarded = forwarded || (i <= 2 && decodeBatch(data)[0].id == leaving)
			sent += proto.Size(s.Frame) + 28
		}
		c.Check(float64(sent) <= eventBurst+now.Sub(epoch).Seconds()*eventRate, qt.IsTrue)
	}
	c.Check(forwarded, qt.IsTrue)
	c.Check(len(d.outbox.verdicts), qt.Equals, 0)
	t.Logf("%d verdicts, %d bytes sent in 10 s", len(lost)-1, sent)
}
