package platform_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/platform"
	"github.com/peridotstall/peridotstall/internal/platform/platformtest"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// longWatch is far longer than a test takes. A watch that is not woken fails its
// test or exceeds the time limit of the test binary.
const longWatch = time.Minute

// partLimit is the size in bytes of a part that holds two members of newConfig.
const partLimit = 330

func newServiceAndClient(t *testing.T) (*platformtest.Service, *platform.Client) {
	s, err := platformtest.New()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close() })
	s.SetPartLimit(partLimit)
	client, err := platform.NewClient(s.URL())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(client.Close)
	return s, client
}

// newConfig returns a configuration with four members, the last of which has the
// weight. It takes two parts.
func newConfig(revision uint64, weight uint32) *schema.Config {
	c := &schema.Config{Revision: revision, HashKey: make([]byte, config.HashKeySize)}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.Members = append(c.Members, &schema.Member{Name: name, Weight: 1})
	}
	c.Members[3].Weight = weight
	return c
}

// Guards against a configuration that differs after it was published and fetched,
// and against unchanged parts that are read again.
func TestFetch(t *testing.T) {
	c := qt.New(t)
	s, client := newServiceAndClient(t)
	var cache config.PartCache
	c.Assert(s.Publish(newConfig(1, 1)), qt.IsNil)
	index, ok, err := client.Index(t.Context(), 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(len(index.GetParts()), qt.Equals, 2)
	got, err := client.Fetch(t.Context(), index, &cache)
	c.Assert(err, qt.IsNil)
	snapshot, err := config.NewSnapshot(got)
	c.Assert(err, qt.IsNil)
	want, err := config.NewSnapshot(newConfig(1, 1))
	c.Assert(err, qt.IsNil)
	c.Check(snapshot.Digest(), qt.DeepEquals, want.Digest())
	c.Check(s.Calls(), qt.Equals, int64(3))

	c.Assert(s.Publish(newConfig(2, 5)), qt.IsNil)
	index, _, err = client.Index(t.Context(), 1, 0)
	c.Assert(err, qt.IsNil)
	got, err = client.Fetch(t.Context(), index, &cache)
	c.Assert(err, qt.IsNil)
	c.Check(got.GetMembers()[3].GetWeight(), qt.Equals, uint32(5))
	c.Check(s.Calls(), qt.Equals, int64(5))
}

// Guards against a configuration assembled from parts of several revisions, when a
// revision is published between the reads of the index and of the parts.
func TestFetchWhilePublished(t *testing.T) {
	c := qt.New(t)
	s, client := newServiceAndClient(t)
	c.Assert(s.Publish(newConfig(1, 1)), qt.IsNil)
	index, _, err := client.Index(t.Context(), 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Publish(newConfig(2, 5)), qt.IsNil)
	_, err = client.Fetch(t.Context(), index, &config.PartCache{})
	c.Check(errors.Is(err, platform.ErrMismatch), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against an index with a revision below the requested one, from a service
// with stale data.
func TestStaleRevision(t *testing.T) {
	c := qt.New(t)
	s, client := newServiceAndClient(t)
	c.Assert(s.Publish(newConfig(1, 1)), qt.IsNil)
	c.Assert(s.Publish(newConfig(2, 2)), qt.IsNil)
	c.Assert(s.SetStale(3), qt.IsNotNil)
	c.Assert(s.SetStale(1), qt.IsNil)
	index, _, err := client.Index(t.Context(), 0, 0)
	c.Assert(err, qt.IsNil)
	c.Check(index.GetRevision(), qt.Equals, uint64(1))
	_, ok, err := client.Index(t.Context(), 2, 0)
	c.Assert(err, qt.IsNil)
	c.Check(ok, qt.IsFalse)
	c.Assert(s.SetStale(0), qt.IsNil)
	index, _, err = client.Index(t.Context(), 1, 0)
	c.Assert(err, qt.IsNil)
	c.Check(index.GetRevision(), qt.Equals, uint64(2))
}

// Guards against a pending watch that misses a change or does not fail in an outage.
func TestWatch(t *testing.T) {
	for _, test := range []struct {
		about  string
		change func(s *platformtest.Service) error
		fails  bool
	}{
		{"hosts", func(s *platformtest.Service) error {
			s.SetHosts(&schema.HostList{Version: 3, Hosts: []*schema.Host{{Name: "h1"}}})
			return nil
		}, false},
		{"other change, then hosts", func(s *platformtest.Service) error {
			err := s.Publish(newConfig(1, 1))
			s.SetHosts(&schema.HostList{Version: 3, Hosts: []*schema.Host{{Name: "h1"}}})
			return err
		}, false},
		{"down", func(s *platformtest.Service) error { s.SetDown(true); return nil }, true},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			s, client := newServiceAndClient(t)
			s.SetHosts(&schema.HostList{Version: 2})
			type result struct {
				hosts *schema.HostList
				ok    bool
				err   error
			}
			done := make(chan result)
			go func() {
				hosts, ok, err := client.Hosts(context.Background(), 2, longWatch)
				done <- result{hosts, ok, err}
			}()
			for s.Calls() == 0 {
				runtime.Gosched()
			}
			c.Assert(test.change(s), qt.IsNil)
			got := <-done
			c.Check(got.err != nil, qt.Equals, test.fails, qt.Commentf("%v", got.err))
			c.Check(got.ok, qt.Equals, !test.fails)
			if !test.fails {
				c.Check(got.hosts.GetHosts()[0].GetName(), qt.Equals, "h1")
			}
			s.SetDown(false)
			_, _, err := client.Hosts(t.Context(), 0, 0)
			c.Check(err, qt.IsNil)
		})
	}
}

// Guards against invalid responses that are taken for values, and against
// oversized values that exhaust memory.
func TestBadResponses(t *testing.T) {
	is := func(target error) func(error) bool { return func(err error) bool { return errors.Is(err, target) } }
	status := func(code int) func(error) bool {
		return func(err error) bool {
			var e *platform.StatusError
			return errors.As(err, &e) && e.Code == code
		}
	}
	for _, test := range []struct {
		about string
		code  int
		body  string
		want  func(error) bool
	}{
		{"too large", 200, `{"name":"` + strings.Repeat("a", config.MaxValueSize) + `"}`, is(platform.ErrTooLarge)},
		{"not JSON", 200, "<html>", is(platform.ErrMalformed)},
		{"empty", 200, "", is(platform.ErrMalformed)},
		{"unknown field", 200, `{"nam":"a"}`, is(platform.ErrMalformed)},
		{"server error", 500, "", status(500)},
		{"no such part", 404, "", status(404)},
		{"no content", 204, "", status(204)},
		{"redirect", 302, "", status(302)},
	} {
		t.Run(test.about, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.code)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			client, err := platform.NewClient(server.URL)
			qt.Assert(t, err, qt.IsNil)
			defer client.Close()
			_, err = client.Part(t.Context(), "part-0")
			qt.Check(t, test.want(err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, calls, qt.Equals, 1)
		})
	}
}

// Guards against an invalid base URL that is detected only at the first call.
func TestBaseURL(t *testing.T) {
	for _, text := range []string{"", "127.0.0.1:80", "ftp://h/", "http://", "http://%"} {
		_, err := platform.NewClient(text)
		qt.Check(t, err, qt.ErrorMatches, "configuration service: .*", qt.Commentf("%q", text))
	}
}

// Guards against delays outside their limits, delays that do not grow, and delays
// without jitter.
func TestBackoff(t *testing.T) {
	c := qt.New(t)
	const minDelay, maxDelay = 100 * time.Millisecond, 3 * time.Second
	delays := map[time.Duration]bool{}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := platform.Backoff{Min: minDelay, Max: maxDelay}
		upper := minDelay
		for range 20 {
			d := b.Next(rng)
			c.Assert(d >= max(minDelay, upper/2) && d <= upper, qt.IsTrue, qt.Commentf("seed %d: %s of %s", seed, d, upper))
			upper = min(2*upper, maxDelay)
		}
		delays[b.Next(rng)] = true
		b.Reset()
		c.Assert(b.Next(rng) <= minDelay, qt.IsTrue)
	}
	c.Check(len(delays) > 150, qt.IsTrue, qt.Commentf("%d different delays of 200", len(delays)))
}
