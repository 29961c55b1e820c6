package control

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/confsync"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Measurements are benchmarks, so that plain go test skips them; run
// each once with -benchtime 1x. The commands are in docs/measurements/control.md.
const (
	measureSeed  = 51
	measureZones = 15
	// changeInterval corresponds to 19,000 configuration changes per day;
	// hostChangeInterval and restartInterval correspond to 3,360 failures and
	// restarts per day with three versions of the host list each.
	changeInterval     = 4545 * time.Millisecond
	hostChangeInterval = 8500 * time.Millisecond
	restartInterval    = 25 * time.Second
	measureDuration    = 60 * time.Second
	// measureLoss is the share of datagrams lost while the fleet changes.
	measureLoss = 0.01
)

// load is the mean and maximum traffic and CPU use per process over a span of
// time.
type load struct {
	bytes, messages, cpu float64
	worstBytes, worstCPU float64
}

func (f *fleet) measure(d time.Duration) load {
	before := f.totals()
	sent := f.messages()
	cpu := map[string]time.Duration{}
	for _, p := range f.procs {
		cpu[p.name] = p.cpu
	}
	f.run(d)
	after := f.totals()
	var l load
	n, s := float64(len(f.procs)), d.Seconds()
	for _, p := range f.procs {
		bytes, used := float64(after[p.name]-before[p.name])/s, (p.cpu-cpu[p.name]).Seconds()/s
		l.bytes += bytes / n
		l.cpu += used / n
		l.worstBytes, l.worstCPU = max(l.worstBytes, bytes), max(l.worstCPU, used)
	}
	l.messages = float64(f.messages()-sent) / s / n
	return l
}

// messages returns the number of messages sent and received by all processes.
func (f *fleet) messages() (sum uint64) {
	for _, p := range f.procs {
		for k := range kindCount {
			sum += p.traffic.sent[k].messages.Load() + p.traffic.received[k].messages.Load()
		}
	}
	return sum
}

// scheduleChanges schedules changes at the target rates and records the longest
// time that a revision takes to be in force at all processes.
func (f *fleet) scheduleChanges(worst *time.Duration) {
	var publish, list, restart func()
	end := f.now.Add(measureDuration)
	again := func(wait time.Duration, run func()) {
		if at := f.now.Add(wait); at.Before(end) {
			f.at(at, run)
		}
	}
	publish = func() {
		began, revision := f.now, f.service.publish()
		var check func()
		check = func() {
			if *worst = max(*worst, f.now.Sub(began)); !f.inForceEverywhere(revision)() {
				f.at(f.now.Add(10*time.Millisecond), check)
			}
		}
		f.at(f.now.Add(10*time.Millisecond), check)
		again(changeInterval, publish)
	}
	list = func() {
		next := f.hostList(f.service.hosts.Version + 1)
		next.Hosts[f.rng.IntN(len(next.Hosts))].Role = schema.Role(next.Version % 3)
		f.service.publishHosts(next)
		again(hostChangeInterval, list)
	}
	restart = func() {
		p := f.procs[f.rng.IntN(len(f.procs))]
		p.node.announce(f.now, schema.HostState_LEAVING)
		f.at(f.now.Add(2*time.Second), func() { p.up = false })
		f.at(f.now.Add(12*time.Second), func() { p.start(f.procs[0].addr, f.procs[1].addr, f.procs[2].addr) })
		again(restartInterval, restart)
	}
	f.at(f.now, publish)
	f.at(f.now, list)
	f.at(f.now, restart)
}

// BenchmarkFleet measures whole fleets, idle and at the target rates of change.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{50, 200, 800, 3200} {
		b.Run(fmt.Sprintf("processes=%d", size), func(b *testing.B) {
			f := newFleet(b, measureSeed, size, measureZones)
			f.startAll()
			f.run(20 * time.Second)
			calls := f.service.calls
			idle := f.measure(measureDuration)
			idleCalls := float64(f.service.calls-calls) / measureDuration.Seconds()
			var worst, worstAlone time.Duration
			f.loss = measureLoss
			f.scheduleChanges(&worst)
			calls = f.service.calls
			busy := f.measure(measureDuration)
			busyCalls := float64(f.service.calls-calls) / measureDuration.Seconds()
			f.run(20 * time.Second)
			f.service.up = false
			for range 5 {
				f.service.config = nextRevision(f.service.config)
				p := f.procs[f.rng.IntN(len(f.procs))]
				whole := f.service.config
				f.runAfter(p, 0, func() { p.node.configRead(f.now, whole) })
				worstAlone = max(worstAlone, f.runUntil(10*time.Second, f.inForceEverywhere(whole.Revision)))
			}
			b.ReportMetric(idle.bytes, "idle-B/s")
			b.ReportMetric(idle.messages, "idle-msg/s")
			b.ReportMetric(100*idle.cpu, "idle-%core")
			b.ReportMetric(busy.bytes, "busy-B/s")
			b.ReportMetric(busy.worstBytes, "busy-worst-B/s")
			b.ReportMetric(busy.messages, "busy-msg/s")
			b.ReportMetric(100*busy.cpu, "busy-%core")
			b.ReportMetric(100*busy.worstCPU, "busy-worst-%core")
			b.ReportMetric(worst.Seconds(), "in-force-s")
			b.ReportMetric(idleCalls, "idle-calls/s")
			b.ReportMetric(worstAlone.Seconds(), "in-force-alone-s")
			b.ReportMetric(busyCalls, "busy-calls/s")
		})
	}
}

// heapInUse returns the heap size in bytes after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// decodeCopy returns a decoded copy, whose memory belongs to the measured
// process.
func decodeCopy[T proto.Message](m, into T) T {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		panic(err)
	}
	return into
}

// BenchmarkProcessAtTargetSize measures one process with a host list and
// configuration of the design size. Its peers are stubs that answer probes and
// revision notes and send the traffic of real peers.
func BenchmarkProcessAtTargetSize(b *testing.B) {
	const size, targets = 57_000, 51_000
	f := newFleet(b, measureSeed, size, measureZones)
	cfg := testConfig(1, targets)
	set, _ := hostlist.New(f.hostList(1))
	// A process in the middle of the configuration tree has both children and a
	// parent.
	p := f.byAddr[set.At(int(set.Zone(0)[20])).Addr]
	base := heapInUse()
	p.start()
	p.node.hostsRead(f.now, decodeCopy(f.hostList(1), &schema.HostList{}))
	for _, h := range f.procs {
		p.node.receive(f.now, h.addr, &schema.Frame{Hops: 2, Body: &schema.Frame_Announce{Announce: &schema.Announce{Host: h.name, Incarnation: 1 << 40, Sequence: 1, State: schema.HostState_LIVE}}})
	}
	hosts := heapInUse() - base
	if decision, err := p.store.Offer(f.now, decodeCopy(cfg, &schema.Config{})); decision != config.Accepted {
		b.Fatal(err)
	}
	content := heapInUse() - base - hosts
	runtime.KeepAlive(set)
	b.ReportMetric(hosts/size, "B/host")
	b.ReportMetric(content/targets, "B/target")
	b.ReportMetric((hosts+content)/(1<<20), "MB")

	publisher := config.NewStore(6 * time.Second)
	_, _ = publisher.Offer(f.now, cfg)
	f.stub = func(q *proc, frame *schema.Frame) *schema.Frame {
		if probe := frame.GetProbe(); probe != nil {
			return &schema.Frame{Body: &schema.Frame_ProbeReply{ProbeReply: &schema.ProbeReply{Sequence: probe.Sequence, Incarnation: 1 << 40, State: schema.HostState_LIVE, From: q.name}}}
		}
		if n := frame.GetRevisionNote(); n.GetReply() {
			answer := proto.CloneOf(n)
			answer.From, answer.Reply = q.name, false
			return &schema.Frame{Body: &schema.Frame_RevisionNote{RevisionNote: answer}}
		}
		return nil
	}
	randomProc := func() *proc { return f.procs[f.rng.IntN(len(f.procs))] }
	sendEvery := func(d time.Duration, send func(from *proc) *schema.Frame) {
		var again func()
		again = func() {
			from := randomProc()
			if frame := send(from); frame != nil {
				from.send(p.addr, frame)
			}
			f.at(f.now.Add(d), again)
		}
		f.at(f.now.Add(d), again)
	}
	f.run(2 * time.Second)
	sendEvery(time.Second/3, func(from *proc) *schema.Frame {
		return &schema.Frame{Body: &schema.Frame_Probe{Probe: &schema.Probe{Sequence: 1, From: from.name}}}
	})
	sendEvery(time.Second/2, func(from *proc) *schema.Frame {
		current := p.store.Current()
		n := &schema.RevisionNote{Revision: current.Revision(), Digest: current.Digest(), From: from.name, HostVersion: p.node.syncer.Hosts().Version(), Reply: true}
		return &schema.Frame{Body: &schema.Frame_RevisionNote{RevisionNote: n}}
	})
	p.node.syncer.Tick(f.now)
	idle := f.measureOne(p, measureDuration)
	sendEvery(changeInterval, func(*proc) *schema.Frame {
		before := publisher.Current().Revision()
		f.service.config = publisher.Current().Config()
		f.service.publish()
		_, _ = publisher.Offer(f.now, f.service.config)
		d, _ := publisher.Delta(before)
		return &schema.Frame{Hops: confsync.HopTree, Body: &schema.Frame_ConfigDelta{ConfigDelta: d}}
	})
	other := confsync.New(confsync.Settings{Host: "host-00001"}, publisher, membership.New(membership.Settings{Host: "host-00001"}, f.rng), rand.New(rand.NewPCG(1, 1)))
	other.HostsRead(f.now, f.hostList(1))
	version := uint64(1)
	sendEvery(hostChangeInterval, func(*proc) *schema.Frame {
		version++
		list := f.hostList(version)
		list.Hosts[int(version)%size].State = schema.HostState_LEAVING
		for _, a := range other.HostsRead(f.now, list) {
			if s, ok := a.(confsync.Send); ok && s.Frame.GetConfigChunk() != nil {
				return s.Frame
			}
		}
		return nil
	})
	sendEvery(restartInterval/2, func(from *proc) *schema.Frame {
		a := &schema.Announce{Host: randomProc().name, Incarnation: 1<<40 + 1, Sequence: uint64(f.now.Unix()), State: schema.HostState_LEAVING}
		return &schema.Frame{Body: &schema.Frame_Announce{Announce: a}}
	})
	busy := f.measureOne(p, measureDuration)
	b.ReportMetric(idle.bytes, "idle-B/s")
	b.ReportMetric(100*idle.cpu, "idle-%core")
	b.ReportMetric(busy.bytes, "busy-B/s")
	b.ReportMetric(100*busy.cpu, "busy-%core")
	b.ReportMetric(float64(p.store.Current().Revision()-1), "changes")
	b.ReportMetric(float64(p.node.syncer.Hosts().Version()-1), "lists")
}

// measureOne is measure for a single process.
func (f *fleet) measureOne(p *proc, d time.Duration) load {
	all := f.procs
	f.procs = []*proc{p}
	before, cpu := f.totals()[p.name], p.cpu
	f.procs = all
	f.run(d)
	f.procs = []*proc{p}
	defer func() { f.procs = all }()
	return load{
		bytes: float64(f.totals()[p.name]-before) / d.Seconds(),
		cpu:   (p.cpu - cpu).Seconds() / d.Seconds(),
	}
}
