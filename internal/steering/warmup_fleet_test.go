package steering_test

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

// warmupModel is a number of balancers in front of targets, of which the first ones are cold.
// Segments and requests take no time; agents report every 200 ms, each at its own time. Warm
// targets report requests besides, so that cold ones seem the better choice.
type warmupModel struct {
	balancers []*steering.Engine
	agents    map[netip.Addr]*occupancy.Tracker
	hosts     []netip.Addr
	now       time.Duration
	random    *rand.Rand
	// requests holds the times of the requests of each cold target.
	requests               map[netip.Addr][]time.Duration
	served, returned, lost int
}

const (
	modelStart     = time.Minute
	reportInterval = 200 * time.Millisecond
	modelRate      = 6
	warmPending    = 2
)

func newWarmupModel(balancers, targets, cold int) *warmupModel {
	m := &warmupModel{agents: make(map[netip.Addr]*occupancy.Tracker), requests: make(map[netip.Addr][]time.Duration), now: modelStart}
	var table registry.Table
	for i := range targets {
		host := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
		target := registry.Target{ID: strconv.Itoa(i), Born: 1, Service: "web", Address: netip.AddrPortFrom(host, 80), Zone: "z", Slots: 1}
		if i < cold {
			target.Cold, target.WarmupLeft = true, time.Hour
			m.requests[host] = nil
		}
		table.Targets = append(table.Targets, target)
		agent := occupancy.New("web")
		agent.SetSlots(target.Slots)
		agent.SetWarmup(warmup.New(0, warmup.Tolerance{}))
		agent.Warmup().Describe(m.now, warmup.Description{Version: 1, Rate: modelRate, Born: 1, Left: target.WarmupLeft})
		m.agents[host] = agent
		m.hosts = append(m.hosts, host)
	}
	table.Revision = 1
	routes := registry.Routes{Version: 1, Warmups: map[string]registry.Warmup{"web": {Rate: modelRate}},
		Routes: []registry.Route{{Endpoint: modelService, Shares: []registry.Share{{Service: "web", Weight: 1}}}}}
	for range balancers {
		e := steering.New("z", 0)
		e.SetView(0, steering.NewView(0, nil, routes, table, 7000))
		m.balancers = append(m.balancers, e)
	}
	return m
}

var modelService = segment.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// report sends the reports of an agent to all balancers.
func (m *warmupModel) report(host netip.Addr) {
	agent := m.agents[host]
	r := steering.Report{Pending: uint32(agent.Pending()), MeanPending: agent.Mean(m.now), Complete: true}
	cold := agent.Warmup().Cold(m.now)
	if !cold {
		r.Pending += warmPending
	}
	each, more := agent.Warmup().Share(m.now, len(m.balancers))
	for i, number := range m.random.Perm(len(m.balancers)) {
		if r.WarmupCredit = uint32(each) + 1; i < more {
			r.WarmupCredit++
		}
		if !cold {
			r.WarmupCredit = 0
		}
		m.balancers[number].View().TargetOn(host).Report(m.now, r)
	}
}

// open opens a flow through a balancer, with its copies until one is accepted, and serves
// its request at once.
func (m *warmupModel) open(b *steering.Engine, number int) {
	head := segment.Head{Source: segment.Endpoint{IP: [4]byte{100, 64, byte(number >> 16), byte(number >> 8)}, Port: uint16(number&255) + 1024}, Destination: modelService, Opening: true}
	v := b.Segment(m.now, head)
	for v.Action == steering.Forward {
		to := v.Targets()[0]
		host := to.Agent.Addr()
		head.Mark = v.Mark(to)
		if m.agents[host].Admit(m.now, head, segment.UnpackOpening(head.Mark)) == occupancy.Accepted {
			m.serve(host, head)
			return
		}
		m.returned++
		head.Returned = true
		v = b.Returned(m.now, host, head)
	}
	m.lost++
}

// serve simulates a flow with one request that is answered at once.
func (m *warmupModel) serve(host netip.Addr, head segment.Head) {
	agent := m.agents[host]
	data := segment.Head{Source: head.Source, Destination: head.Destination, DataLength: 100}
	answer := segment.Head{Source: head.Destination, Destination: head.Source}
	agent.Delivered(m.now, head, segment.Mark{}, 0, nil)
	answer.Opening, answer.Accepted = true, true
	agent.Answered(m.now, answer, occupancy.NoOutcome)
	agent.Delivered(m.now, data, segment.Mark{}, 0, nil)
	answer.Opening, answer.Accepted, answer.DataLength = false, false, 500
	agent.Answered(m.now, answer, occupancy.Succeeded)
	m.served++
	if list, cold := m.requests[host]; cold {
		m.requests[host] = append(list, m.now)
	}
}

// play opens flows at a mean rate through random balancers for a duration.
func (m *warmupModel) play(perSecond int, duration time.Duration, seed uint64) {
	m.random = rand.New(rand.NewPCG(seed, 0))
	next := make(map[netip.Addr]time.Duration)
	for i, host := range m.hosts {
		m.report(host)
		next[host] = m.now + time.Duration(i)*reportInterval/time.Duration(len(m.hosts))
	}
	end := m.now + duration
	for number := 0; m.now < end; number++ {
		m.now += time.Duration(m.random.ExpFloat64() * float64(time.Second) / float64(perSecond))
		for _, host := range m.hosts {
			for next[host] <= m.now {
				m.report(host)
				next[host] += reportInterval
			}
		}
		m.open(m.balancers[m.random.IntN(len(m.balancers))], number)
	}
}

// Guards against a cold target that many balancers use at once: requests above the rate in
// some second, openings that get no target although warm ones are there, and a cold target
// that gets less than half of its rate because its credit is old.
func TestManyBalancersKeepTheRate(t *testing.T) {
	for _, test := range []struct{ targets, cold int }{{40, 1}, {40, 10}, {8, 7}, {8, 8}} {
		c := qt.New(t)
		const duration = 10 * time.Second
		m := newWarmupModel(24, test.targets, test.cold)
		const seed = 1
		m.play(40*30, duration, seed)
		t.Logf("seed %d, %d of %d cold: %d served, %d openings given back, %d lost", seed, test.cold, test.targets, m.served, m.returned, m.lost)
		for host, times := range m.requests {
			for i := range times {
				c.Check(i < modelRate || times[i]-times[i-modelRate] > time.Second, qt.IsTrue, qt.Commentf("%s at %v", host, times[i]))
			}
			c.Check(len(times)*2 >= modelRate*int(duration/time.Second), qt.IsTrue, qt.Commentf("%s: %d requests", host, len(times)))
		}
		if test.cold < test.targets {
			c.Check(m.lost, qt.Equals, 0)
			c.Check(m.returned*10 <= m.served, qt.IsTrue, qt.Commentf("%d of %d openings were given back", m.returned, m.served))
		}
	}
}
