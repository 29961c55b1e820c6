package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// delivery is a frame in transit.
type delivery struct {
	at    time.Time
	from  netip.AddrPort
	to    int
	frame *schema.Frame
}

// BenchmarkZoneFailureAtTargetSize measures how the verdicts about one failed
// zone of a fleet of 57,000 processes spread within another zone. Only the
// processes of the receiving zone run; the other zones answer probes and inject
// the verdicts within one second, in which their probers agree.
func BenchmarkZoneFailureAtTargetSize(b *testing.B) {
	const size, zones, seed = 57_000, 15, 52
	hosts := testHosts(b, size, zones)
	rng := rand.New(rand.NewPCG(seed, 0))
	b.Logf("seed %d", seed)
	members := hosts.Zone(0)
	detectors := make([]*Detector, len(members))
	number := map[netip.AddrPort]int{}
	for i, at := range members {
		h := hosts.At(int(at))
		detectors[i] = New(Settings{Host: h.Name, Incarnation: 5}, rand.New(rand.NewPCG(seed, uint64(i))))
		detectors[i].SetHosts(epoch, hosts)
		number[h.Addr] = i
	}
	lost := hosts.Zone(1)
	dead := map[netip.AddrPort]bool{}
	var queue []delivery
	for _, at := range lost {
		h := hosts.At(int(at))
		dead[h.Addr] = true
		data := encodeBatch([]queuedEvent{{event: event{id: h.ID, incarnation: 1 << 40, sequence: 2, state: schema.HostState_DEAD}}})
		frame := &schema.Frame{Hops: hopInjected, Body: &schema.Frame_ConfigChunk{ConfigChunk: &schema.ConfigChunk{Count: 1, Data: data}}}
		queue = append(queue, delivery{at: epoch.Add(time.Duration(rng.Int64N(int64(time.Second)))), to: rng.IntN(len(detectors)), frame: frame})
	}
	bytes := make([][]float64, len(detectors))
	var cpu time.Duration
	complete, finished := 0.0, 0
	for now := epoch; now.Sub(epoch) < 20*time.Second; now = now.Add(100 * time.Millisecond) {
		second := int(now.Sub(epoch) / time.Second)
		var next []delivery
		slices.SortStableFunc(queue, func(a, b delivery) int { return a.at.Compare(b.at) })
		run := func(i int, actions []Action) {
			for _, a := range actions {
				s, ok := a.(Send)
				if !ok {
					continue
				}
				bytes[i][second] += float64(proto.Size(s.Frame) + 28)
				if j, ok := number[s.To]; ok {
					next = append(next, delivery{at: now.Add(time.Millisecond), from: hosts.At(int(members[i])).Addr, to: j, frame: s.Frame})
				} else if p := s.Frame.GetProbe(); p != nil && !dead[s.To] {
					peer := hosts.At(hosts.ByID(idAt(hosts, s.To)))
					reply := &schema.ProbeReply{Sequence: p.Sequence, Incarnation: 1 << 40, State: schema.HostState_LIVE, From: peer.Name}
					next = append(next, delivery{at: now.Add(time.Millisecond), from: s.To, to: i, frame: &schema.Frame{Body: &schema.Frame_ProbeReply{ProbeReply: reply}}})
				}
			}
		}
		for i := range detectors {
			if len(bytes[i]) <= second {
				bytes[i] = append(bytes[i], 0)
			}
		}
		waiting := queue[:0]
		for _, l := range queue {
			if l.at.After(now) {
				waiting = append(waiting, l)
				continue
			}
			bytes[l.to][second] += float64(proto.Size(l.frame) + 28)
			began := time.Now()
			actions := detectors[l.to].Receive(now, l.from, l.frame)
			cpu += time.Since(began)
			run(l.to, actions)
		}
		finished = 0
		for i, d := range detectors {
			began := time.Now()
			actions := d.Tick(now)
			cpu += time.Since(began)
			run(i, actions)
			if len(d.events.notLive) >= len(lost) {
				finished++
			}
		}
		if finished == len(detectors) && complete == 0 {
			complete = now.Sub(epoch).Seconds()
		}
		queue = append(waiting, next...)
	}
	worst, mean := 0.0, 0.0
	for i := range bytes {
		worst = max(worst, slices.Max(bytes[i]))
		for _, x := range bytes[i][:10] {
			mean += x / 10 / float64(len(bytes))
		}
	}
	b.ReportMetric(complete, "known-everywhere-s")
	b.ReportMetric(float64(finished), "processes-complete")
	b.ReportMetric(worst, "worst-B/s")
	b.ReportMetric(mean, "mean-B/s")
	b.ReportMetric(100*cpu.Seconds()/20/float64(len(detectors)), "%core")
}

// idAt returns the ID of the host with the address.
func idAt(hosts *hostlist.Set, addr netip.AddrPort) hostlist.ID {
	bytes := addr.Addr().As4()
	return hostlist.IDOf(testName(int(bytes[1])<<16 | int(bytes[2])<<8 | int(bytes[3])))
}
