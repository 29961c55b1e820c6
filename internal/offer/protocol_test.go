package offer_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/testseed"
)

// fixedSeed makes every run of the property tests draw the same scenarios.
const fixedSeed = "20261204"

func TestMain(m *testing.M) { testseed.Main(m, fixedSeed) }

// lossyScenario has a link that loses, duplicates and reorders packets, and agents
// with little queue room that restart, pause and drain.
func lossyScenario(seed uint64) scenario {
	return scenario{
		seed:   seed,
		agents: 3, slots: 1, room: 3,
		calls: 12, maxBody: 6000, answerWords: 750,
		loss: 0.15, duplicate: 0.2,
		cancelShare: 0.2, disruptionRate: 1,
		interval: 100 * time.Millisecond,
		deadline: 5 * time.Second,
		delay:    jitter(60 * time.Millisecond),
		service:  uniformUpTo(150 * time.Millisecond),
	}
}

func jitter(limit time.Duration) func(*simulation, uint32) time.Duration {
	return func(sim *simulation, _ uint32) time.Duration { return time.Duration(sim.rng.Int64N(int64(limit))) }
}

func uniformUpTo(limit time.Duration) func(*simulation) time.Duration {
	return func(sim *simulation) time.Duration { return time.Duration(sim.rng.Int64N(int64(limit))) }
}

// Guards against a request that runs twice, one that ran but is reported as not
// run, and an answer that is incomplete or belongs to another request. The link is
// lossy and delays packets, and agents restart, pause and drain.
func TestRequestsOverLossyLink(t *testing.T) {
	t.Logf("rapid seed %s", flag.Lookup("rapid.seed").Value)
	answered, total := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := lossyScenario(rapid.Uint64().Draw(rt, "seed"))
		s.agents = rapid.IntRange(1, 5).Draw(rt, "agents")
		s.slots = rapid.IntRange(1, 3).Draw(rt, "slots")
		s.room = rapid.IntRange(1, 8).Draw(rt, "room")
		s.loss = rapid.Float64Range(0, 0.4).Draw(rt, "loss")
		s.duplicate = rapid.Float64Range(0, 0.5).Draw(rt, "duplicate")
		s.cancelShare = rapid.Float64Range(0, 0.5).Draw(rt, "cancel")
		s.disruptionRate = float64(rapid.IntRange(0, 3).Draw(rt, "disruption rate"))
		s.deadline = time.Duration(rapid.SampledFrom([]int{1, 2, 5}).Draw(rt, "deadline s")) * time.Second
		s.delay = jitter(time.Duration(rapid.SampledFrom([]int{5, 60, 500, 3000}).Draw(rt, "jitter ms")) * time.Millisecond)
		s.service = uniformUpTo(time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 8000}).Draw(rt, "service ms")) * time.Millisecond)
		sim := newSimulation(s).run()
		if found := sim.violations(); len(found) > 0 {
			rt.Fatal(strings.Join(found, "\n"))
		}
		for _, c := range sim.calls {
			total++
			if c.result.Response != nil {
				answered++
			}
		}
	})
	t.Logf("%d of %d requests answered", answered, total)
	qt.Assert(t, answered > 0, qt.IsTrue)
}

// Guards against a protocol that satisfies the safety checks by answering nothing:
// with 2% loss, 2% duplicates and no faults of agents, every request is answered,
// with fragments in both directions.
func TestEveryRequestAnsweredOnGoodLink(t *testing.T) {
	for seed := range uint64(20) {
		s := lossyScenario(seed)
		s.room, s.loss, s.duplicate, s.cancelShare, s.disruptionRate = 20, 0.02, 0.02, 0, 0
		sim := newSimulation(s).run()
		qt.Check(t, sim.violations(), qt.HasLen, 0)
		for id, c := range sim.calls {
			qt.Check(t, c.result.Response, qt.IsNotNil, qt.Commentf("seed %d request %x: %v", seed, id, c.result.Err))
		}
	}
}

// Guards against a transfer that stalls or skips fragments when the missing
// fragments do not fit into one acknowledgement.
func TestLargeTransferOverLossyLink(t *testing.T) {
	for seed := range uint64(2) {
		s := lossyScenario(seed)
		s.calls, s.minBody, s.maxBody, s.answerWords = 2, 1<<18, 1<<20, 1<<17
		s.cancelShare, s.disruptionRate, s.deadline = 0, 0, 10*time.Minute
		sim := newSimulation(s).run()
		qt.Check(t, sim.violations(), qt.HasLen, 0)
		for id, c := range sim.calls {
			qt.Check(t, c.result.Response, qt.IsNotNil, qt.Commentf("seed %d request %x: %v", seed, id, c.result.Err))
			t.Logf("seed %d: %d bytes in %v", seed, len(c.body), c.ended.Sub(c.started))
		}
	}
}

// Guards against checks that cannot fail: each injected fault must be detected.
func TestChecksDetectViolations(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault injectedFault
		found string
	}{
		{"agents run requests without tokens", ignoreTokens, "times"},
		{"unknown outcomes are reported as not run", claimNotRun, "ran but ended as"},
		{"answers are mixed up", mixUpAnswers, "got another answer"},
		{"answers are shortened", shortenAnswers, "got another answer"},
	} {
		t.Run(test.name, func(t *testing.T) {
			hits := 0
			for seed := range uint64(20) {
				s := lossyScenario(seed)
				s.fault = test.fault
				hits += strings.Count(strings.Join(newSimulation(s).run().violations(), "\n"), test.found)
			}
			t.Logf("seeds 0 to 19: %d violations found", hits)
			qt.Check(t, hits > 0, qt.IsTrue)
		})
	}
}
