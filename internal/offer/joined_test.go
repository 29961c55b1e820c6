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

// fixedSeed makes every run of the properties draw the same scenarios.
const fixedSeed = "20261204"

func TestMain(m *testing.M) { testseed.Main(m, fixedSeed) }

// lossy is a link that loses, duplicates and reorders, between agents that are
// short of room, restart, pause and drain.
func lossy(seed uint64) scenario {
	return scenario{
		seed:   seed,
		agents: 3, slots: 1, room: 3,
		calls: 12, maxBody: 6000, answerWords: 750,
		loss: 0.15, duplicate: 0.2,
		cancel: 0.2, trouble: 1,
		interval: 100 * time.Millisecond,
		deadline: 5 * time.Second,
		delay:    jitter(60 * time.Millisecond),
		service:  upTo(150 * time.Millisecond),
	}
}

func jitter(most time.Duration) func(*world, uint32) time.Duration {
	return func(w *world, _ uint32) time.Duration { return time.Duration(w.rng.Int64N(int64(most))) }
}

func upTo(most time.Duration) func(*world) time.Duration {
	return func(w *world) time.Duration { return time.Duration(w.rng.Int64N(int64(most))) }
}

// Guards against a request that runs twice, a "not run" of a request that ran,
// and an answer that is incomplete or belongs to another request, over lossy
// links with late packets and troubled agents.
func TestRequestsOverLossyLink(t *testing.T) {
	t.Logf("rapid seed %s", flag.Lookup("rapid.seed").Value)
	answered, total := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := lossy(rapid.Uint64().Draw(rt, "seed"))
		s.agents = rapid.IntRange(1, 5).Draw(rt, "agents")
		s.slots = rapid.IntRange(1, 3).Draw(rt, "slots")
		s.room = rapid.IntRange(1, 8).Draw(rt, "room")
		s.loss = rapid.Float64Range(0, 0.4).Draw(rt, "loss")
		s.duplicate = rapid.Float64Range(0, 0.5).Draw(rt, "duplicate")
		s.cancel = rapid.Float64Range(0, 0.5).Draw(rt, "cancel")
		s.trouble = float64(rapid.IntRange(0, 3).Draw(rt, "trouble"))
		s.deadline = time.Duration(rapid.SampledFrom([]int{1, 2, 5}).Draw(rt, "deadline s")) * time.Second
		s.delay = jitter(time.Duration(rapid.SampledFrom([]int{5, 60, 500, 3000}).Draw(rt, "jitter ms")) * time.Millisecond)
		s.service = upTo(time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 8000}).Draw(rt, "service ms")) * time.Millisecond)
		w := newWorld(s).run()
		if found := w.violations(); len(found) > 0 {
			rt.Fatal(strings.Join(found, "\n"))
		}
		for _, c := range w.calls {
			total++
			if c.result.Response != nil {
				answered++
			}
		}
	})
	t.Logf("%d of %d requests answered", answered, total)
	qt.Assert(t, answered > 0, qt.IsTrue)
}

// Guards against a protocol that is safe because it does nothing: without
// faults, every request is answered, with fragments in both directions.
func TestEveryRequestAnsweredOnGoodLink(t *testing.T) {
	for seed := range uint64(20) {
		s := lossy(seed)
		s.room, s.loss, s.duplicate, s.cancel, s.trouble = 20, 0.02, 0.02, 0, 0
		w := newWorld(s).run()
		qt.Check(t, w.violations(), qt.HasLen, 0)
		for id, c := range w.calls {
			qt.Check(t, c.result.Response, qt.IsNotNil, qt.Commentf("seed %d request %x: %v", seed, id, c.result.Err))
		}
	}
}

// Guards against a transfer that stalls, or loses its place, when the missing
// fragments do not fit into one acknowledgement.
func TestLargeTransferOverLossyLink(t *testing.T) {
	for seed := range uint64(2) {
		s := lossy(seed)
		s.calls, s.minBody, s.maxBody, s.answerWords = 2, 1<<18, 1<<20, 1<<17
		s.cancel, s.trouble, s.deadline = 0, 0, 10*time.Minute
		w := newWorld(s).run()
		qt.Check(t, w.violations(), qt.HasLen, 0)
		for id, c := range w.calls {
			qt.Check(t, c.result.Response, qt.IsNotNil, qt.Commentf("seed %d request %x: %v", seed, id, c.result.Err))
			t.Logf("seed %d: %d bytes in %v", seed, len(c.body), c.ended.Sub(c.started))
		}
	}
}

// Guards against checks that cannot fail: each broken rule has to be found.
func TestChecksFindBrokenRules(t *testing.T) {
	for _, test := range []struct {
		name     string
		sabotage sabotage
		found    string
	}{
		{"agents run requests without tokens", ignoreTokens, "times"},
		{"unknown outcomes are reported as not run", claimNotRun, "ran but ended as"},
		{"answers are mixed up", mixUpAnswers, "got another answer"},
		{"answers are shortened", shortenAnswers, "got another answer"},
	} {
		t.Run(test.name, func(t *testing.T) {
			hits := 0
			for seed := range uint64(20) {
				s := lossy(seed)
				s.sabotage = test.sabotage
				hits += strings.Count(strings.Join(newWorld(s).run().violations(), "\n"), test.found)
			}
			t.Logf("seeds 0 to 19: %d violations found", hits)
			qt.Check(t, hits > 0, qt.IsTrue)
		})
	}
}
