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

// longWait is far above what a test needs; a watch that is not woken fails the
// run by the time limit of the test binary.
const longWait = time.Minute

// partLimit leaves room for two of the members below in a part.
const partLimit = 330

func newPair(t *testing.T) (*platformtest.Service, *platform.Client) {
	s, err := platformtest.New()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close() })
	s.SetPartLimit(partLimit)
	client, err := platform.NewClient(s.URL())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(client.Close)
	return s, client
}

// members returns a configuration with four members, of about two parts.
func members(revision uint64, weight uint32) *schema.Config {
	c := &schema.Config{Revision: revision, HashKey: make([]byte, config.HashKeySize)}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.Members = append(c.Members, &schema.Member{Name: name, Weight: 1})
	}
	c.Members[3].Weight = weight
	return c
}

// Guards against a configuration that changes on its way through the service,
// and against parts that are read again although they did not change.
func TestFetch(t *testing.T) {
	c := qt.New(t)
	s, client := newPair(t)
	var cache config.PartCache
	c.Assert(s.Publish(members(1, 1)), qt.IsNil)
	index, ok, err := client.Index(t.Context(), 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(len(index.GetParts()), qt.Equals, 2)
	got, err := client.Fetch(t.Context(), index, &cache)
	c.Assert(err, qt.IsNil)
	snapshot, err := config.NewSnapshot(got)
	c.Assert(err, qt.IsNil)
	want, err := config.NewSnapshot(members(1, 1))
	c.Assert(err, qt.IsNil)
	c.Check(snapshot.Digest(), qt.DeepEquals, want.Digest())
	c.Check(s.Calls(), qt.Equals, int64(3))

	c.Assert(s.Publish(members(2, 5)), qt.IsNil)
	index, _, err = client.Index(t.Context(), 1, 0)
	c.Assert(err, qt.IsNil)
	got, err = client.Fetch(t.Context(), index, &cache)
	c.Assert(err, qt.IsNil)
	c.Check(got.GetMembers()[3].GetWeight(), qt.Equals, uint32(5))
	c.Check(s.Calls(), qt.Equals, int64(5))
}

// Guards against parts of one revision that are taken for those of another.
func TestFetchWhilePublished(t *testing.T) {
	c := qt.New(t)
	s, client := newPair(t)
	c.Assert(s.Publish(members(1, 1)), qt.IsNil)
	index, _, err := client.Index(t.Context(), 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Publish(members(2, 5)), qt.IsNil)
	_, err = client.Fetch(t.Context(), index, &config.PartCache{})
	c.Check(errors.Is(err, platform.ErrMismatch), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a stale service that hands out a revision below the one asked for.
func TestStale(t *testing.T) {
	c := qt.New(t)
	s, client := newPair(t)
	c.Assert(s.Publish(members(1, 1)), qt.IsNil)
	c.Assert(s.Publish(members(2, 2)), qt.IsNil)
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

// Guards against a pending watch that misses a change or an outage.
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
			err := s.Publish(members(1, 1))
			s.SetHosts(&schema.HostList{Version: 3, Hosts: []*schema.Host{{Name: "h1"}}})
			return err
		}, false},
		{"down", func(s *platformtest.Service) error { s.SetDown(true); return nil }, true},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			s, client := newPair(t)
			s.SetHosts(&schema.HostList{Version: 2})
			type result struct {
				hosts *schema.HostList
				ok    bool
				err   error
			}
			done := make(chan result)
			go func() {
				hosts, ok, err := client.Hosts(context.Background(), 2, longWait)
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

// Guards against answers of a misbehaving service that are taken for values,
// and against values that fill the memory.
func TestBadAnswers(t *testing.T) {
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
		{"too large", 200, `{"name":"` + strings.Repeat("a", config.MaxValue) + `"}`, is(platform.ErrTooLarge)},
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

// Guards against a base URL that can never work and fails only at the first call.
func TestBaseURL(t *testing.T) {
	for _, text := range []string{"", "127.0.0.1:80", "ftp://h/", "http://", "http://%"} {
		_, err := platform.NewClient(text)
		qt.Check(t, err, qt.ErrorMatches, "configuration service: .*", qt.Commentf("%q", text))
	}
}

// Guards against delays outside their bounds, delays that do not grow, and
// delays without jitter.
func TestBackoff(t *testing.T) {
	c := qt.New(t)
	const least, most = 100 * time.Millisecond, 3 * time.Second
	first := map[time.Duration]bool{}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := platform.Backoff{Min: least, Max: most}
		bound := least
		for range 20 {
			d := b.Next(rng)
			c.Assert(d >= max(least, bound/2) && d <= bound, qt.IsTrue, qt.Commentf("seed %d: %s of %s", seed, d, bound))
			bound = min(2*bound, most)
		}
		first[b.Next(rng)] = true
		b.Reset()
		c.Assert(b.Next(rng) <= least, qt.IsTrue)
	}
	c.Check(len(first) > 150, qt.IsTrue, qt.Commentf("%d different delays of 200", len(first)))
}
