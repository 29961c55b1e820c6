// Package platformtest is an in-memory stand-in for the configuration service,
// served over HTTP, for tests and trials.
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
	// DefaultPartLimit is the default size limit of a published part in bytes.
	DefaultPartLimit = config.MaxValueSize
	// maxWatchTimeout limits a watch as the real service does.
	maxWatchTimeout = 60 * time.Second
	// readHeaderTimeout closes connections without a request.
	readHeaderTimeout = 5 * time.Second
	// maxRevisions is the limit on revisions kept for SetStale.
	maxRevisions = 64
)

// revisionData is one published revision.
type revisionData struct {
	index *schema.Index
	parts map[string]*schema.Part
}

// Service is a stand-in for the configuration service. It is safe for concurrent
// use.
type Service struct {
	server *http.Server
	url    string
	calls  atomic.Int64

	mu             sync.Mutex
	partLimit      int
	revisions      map[uint64]revisionData
	order          []uint64 // revisions in order of publication
	latestRevision uint64
	staleRevision  uint64
	hosts          *schema.HostList
	down           bool
	// changed is closed and replaced on every change, which wakes pending watches.
	changed chan struct{}
}

// New starts a service without a configuration and with an empty host list on a
// free loopback port. The caller must call Close.
func New() (*Service, error) {
	return Listen("127.0.0.1:0")
}

// Listen is like New, but listens on the given TCP address.
func Listen(address string) (*Service, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "configuration service stand-in")
	}
	s := &Service{
		url:       "http://" + listener.Addr().String(),
		partLimit: DefaultPartLimit,
		revisions: map[uint64]revisionData{},
		hosts:     &schema.HostList{},
		changed:   make(chan struct{}),
	}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the base URL.
func (s *Service) URL() string { return s.url }

// Close stops the service and drops pending watches.
func (s *Service) Close() error { return s.server.Close() }

// Calls returns the number of calls so far, including dropped ones.
func (s *Service) Calls() int64 { return s.calls.Load() }

// SetPartLimit sets the size limit in bytes of the parts of revisions published
// later.
func (s *Service) SetPartLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partLimit = limit
}

// Publish makes a configuration the latest one. It accepts any revision and does
// not validate the content, so that tests can publish invalid configurations. It
// returns an error if the configuration cannot be split into parts.
func (s *Service) Publish(c *schema.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := proto.Clone(c).(*schema.Config)
	index, parts, err := config.Split(copied, s.partLimit)
	if err != nil {
		return err
	}
	p := revisionData{index: index, parts: map[string]*schema.Part{}}
	for _, part := range parts {
		p.parts[part.GetName()] = part
	}
	s.addRevision(c.GetRevision(), p)
	s.latestRevision = c.GetRevision()
	s.notify()
	return nil
}

// addRevision stores a revision. Above the limit, it deletes the oldest one other
// than the stale revision being served.
func (s *Service) addRevision(revision uint64, p revisionData) {
	if _, known := s.revisions[revision]; !known {
		s.order = append(s.order, revision)
	}
	s.revisions[revision] = p
	if len(s.order) <= maxRevisions {
		return
	}
	oldest := slices.IndexFunc(s.order, func(r uint64) bool { return r != s.staleRevision })
	delete(s.revisions, s.order[oldest])
	s.order = slices.Delete(s.order, oldest, oldest+1)
}

// SetHosts replaces the host list.
func (s *Service) SetHosts(hosts *schema.HostList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = proto.Clone(hosts).(*schema.HostList)
	s.notify()
}

// SetDown makes the service drop all calls, including pending watches, until it is
// called with false.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// SetStale makes the service serve an earlier revision instead of the latest one;
// 0 ends this. It returns an error if the revision is not stored.
func (s *Service) SetStale(revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.revisions[revision]; !ok && revision != 0 {
		return errors.Errorf("revision %d was not published or is no longer stored", revision)
	}
	s.staleRevision = revision
	s.notify()
	return nil
}

func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/index", func(w http.ResponseWriter, r *http.Request) {
		s.serveWatch(w, r, func() (uint64, proto.Message) {
			index := s.servedRevision().index
			return index.GetRevision(), index
		})
	})
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		s.serveWatch(w, r, func() (uint64, proto.Message) { return s.hosts.GetVersion(), s.hosts })
	})
	mux.HandleFunc("GET /v1/config/parts/{name}", s.servePart)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		mux.ServeHTTP(w, r)
	})
}

// servedRevision returns the revision that clients get. The caller must hold s.mu.
func (s *Service) servedRevision() revisionData {
	if s.staleRevision != 0 {
		return s.revisions[s.staleRevision]
	}
	return s.revisions[s.latestRevision]
}

func (s *Service) servePart(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	part, ok := s.servedRevision().parts[r.PathValue("name")]
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.NotFound(w, r)
		return
	}
	sendJSON(w, part)
}

// serveWatch responds with a value as soon as its version is above the one that
// the client has, or with status 204 after the timeout.
func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request, value func() (uint64, proto.Message)) {
	after, timeout, ok := watchParameters(r)
	if !ok {
		http.Error(w, "after and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		down, changed := s.down, s.changed
		version, m := value()
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if version > after {
			sendJSON(w, m)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func watchParameters(r *http.Request) (uint64, time.Duration, bool) {
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
	timeout := time.Duration(min(seconds, uint64(maxWatchTimeout/time.Second))) * time.Second
	return after, timeout, true
}

func sendJSON(w http.ResponseWriter, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
