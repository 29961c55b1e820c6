// Package platformtest is an in-memory stand-in for the configuration service
// and the host list, served over HTTP, for tests and trials.
package platformtest

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// DefaultPartLimit is the size of a published part in bytes.
	DefaultPartLimit = config.MaxValue
	// maxWait bounds a watch like the real service does.
	maxWait = 60 * time.Second
	// headerTimeout ends connections that send no request.
	headerTimeout = 5 * time.Second
	// maxKept bounds the revisions kept for SetStale.
	maxKept = 64
)

// published is one revision as the service holds it.
type published struct {
	index *schema.Index
	parts map[string]*schema.Part
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	server *http.Server
	url    string
	calls  atomic.Int64

	mu        sync.Mutex
	partLimit int
	revisions map[uint64]published
	order     []uint64 // of publication
	latest    uint64
	stale     uint64
	hosts     *schema.HostList
	down      bool
	// changed is closed and replaced on every change, to wake pending watches.
	changed chan struct{}
}

// New starts a service without configuration and with an empty host list, on a
// loopback port that the system chooses.
func New() (*Service, error) {
	return Listen("127.0.0.1:0")
}

// Listen is New with a given address.
func Listen(address string) (*Service, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "configuration service stand-in")
	}
	s := &Service{
		url:       "http://" + listener.Addr().String(),
		partLimit: DefaultPartLimit,
		revisions: map[uint64]published{},
		hosts:     &schema.HostList{},
		changed:   make(chan struct{}),
	}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the base URL.
func (s *Service) URL() string { return s.url }

// Close stops the service and drops pending watches.
func (s *Service) Close() error { return s.server.Close() }

// Calls returns the number of calls so far, including those that were dropped.
func (s *Service) Calls() int64 { return s.calls.Load() }

// SetPartLimit sets the size of the parts of later revisions in bytes.
func (s *Service) SetPartLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partLimit = limit
}

// Publish makes a configuration the latest one. It does not validate it, so
// that tests can publish invalid content, and accepts any revision.
func (s *Service) Publish(c *schema.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := proto.Clone(c).(*schema.Config)
	index, parts, err := config.Split(copied, s.partLimit)
	if err != nil {
		return err
	}
	p := published{index: index, parts: map[string]*schema.Part{}}
	for _, part := range parts {
		p.parts[part.GetName()] = part
	}
	s.keep(c.GetRevision(), p)
	s.latest = c.GetRevision()
	s.wake()
	return nil
}

// keep stores a revision and forgets the oldest one that is not served.
func (s *Service) keep(revision uint64, p published) {
	if _, known := s.revisions[revision]; !known {
		s.order = append(s.order, revision)
	}
	s.revisions[revision] = p
	if len(s.order) <= maxKept {
		return
	}
	oldest := slices.IndexFunc(s.order, func(r uint64) bool { return r != s.stale })
	delete(s.revisions, s.order[oldest])
	s.order = slices.Delete(s.order, oldest, oldest+1)
}

// SetHosts replaces the host list.
func (s *Service) SetHosts(hosts *schema.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = proto.Clone(hosts).(*schema.HostList)
	s.wake()
}

// SetDown drops all calls, including pending watches, until it is set to false.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetStale serves an earlier published revision instead of the latest one; zero
// ends this.
func (s *Service) SetStale(revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.revisions[revision]; !ok && revision != 0 {
		return errors.Errorf("revision %d was not published or is no longer kept", revision)
	}
	s.stale = revision
	s.wake()
	return nil
}

func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/index", func(w http.ResponseWriter, r *http.Request) {
		s.watch(w, r, func() (uint64, proto.Message) {
			index := s.served().index
			return index.GetRevision(), index
		})
	})
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		s.watch(w, r, func() (uint64, proto.Message) { return s.hosts.GetVersion(), s.hosts })
	})
	mux.HandleFunc("GET /v1/config/parts/{name}", s.part)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		mux.ServeHTTP(w, r)
	})
}

// served returns the revision that readers see. The caller holds the lock.
func (s *Service) served() published {
	if s.stale != 0 {
		return s.revisions[s.stale]
	}
	return s.revisions[s.latest]
}

func (s *Service) part(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	part, ok := s.served().parts[r.PathValue("name")]
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.NotFound(w, r)
		return
	}
	send(w, part)
}

// watch answers as soon as the version of a value is above the one asked for,
// or with nothing after the wait.
func (s *Service) watch(w http.ResponseWriter, r *http.Request, value func() (uint64, proto.Message)) {
	after, wait, ok := parameters(r)
	if !ok {
		http.Error(w, "after and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		down, changed := s.down, s.changed
		version, m := value()
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if version > after {
			send(w, m)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func parameters(r *http.Request) (uint64, time.Duration, bool) {
	number := func(name string) (uint64, error) {
		text := r.URL.Query().Get(name)
		if text == "" {
			return 0, nil
		}
		return strconv.ParseUint(text, 10, 64)
	}
	after, err := number("after")
	if err != nil {
		return 0, 0, false
	}
	seconds, err := number("wait")
	if err != nil {
		return 0, 0, false
	}
	wait := time.Duration(min(seconds, uint64(maxWait/time.Second))) * time.Second
	return after, wait, true
}

func send(w http.ResponseWriter, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
