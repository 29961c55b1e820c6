package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems and pageBytes bound the items of a page and their values.
	pageItems, pageBytes = 500, 1 << 20
	// answerTime is the time that an answer takes.
	answerTime = 4 * time.Millisecond
	// maxWait bounds the wait of a watch.
	maxWait = 30 * time.Second
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type event struct {
	item
	at time.Time
}

// store is the platform's store: keys, revisions, watches with a history of limited age.
type store struct {
	listener net.Listener
	gate     *gate
	server   *http.Server
	history  time.Duration

	mu       sync.Mutex
	changed  chan struct{}
	items    map[string]item
	events   []event
	revision uint64
	// oldest is the revision up to which the history is dropped.
	oldest uint64
	// onAnswer is called for each answer; nil for none.
	onAnswer func(path, prefix string)
	// only is the address at which the store answers; empty for all.
	only   string
	closed chan struct{}
}

func newStore(address string, history time.Duration) (*store, error) {
	inner, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := newGate(inner.(*net.TCPListener))
	s := &store{listener: l, gate: l, history: history, changed: make(chan struct{}), items: map[string]item{}, revision: 1, closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

// movedTo refuses calls at other addresses than the given one.
func (s *store) movedTo(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.only = address
	s.notify()
}

func (s *store) close() {
	close(s.closed)
	s.server.Close()
}

func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	old, known := s.items[key]
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if known {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, event{i, time.Now()})
	s.notify()
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, event{item{Key: key, Revision: s.revision, Removed: true}, time.Now()})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// prune drops the history older than its limit. The caller holds s.mu.
func (s *store) prune() {
	n := 0
	for n < len(s.events) && time.Since(s.events[n].at) > s.history {
		s.oldest = s.events[n].Revision
		n++
	}
	s.events = s.events[n:]
}

// answer sends an answer, or leaves the connection silent if the store is silent or has moved.
func (s *store) answer(w http.ResponseWriter, r *http.Request, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	time.Sleep(answerTime)
	if s.gate.isShut() {
		// Nothing arrives at the caller, which ends the connection when it gives up.
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	moved := s.only != "" && local.String() != s.only
	onAnswer := s.onAnswer
	s.mu.Unlock()
	if moved {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			go func() { <-s.closed; conn.Close() }()
		}
		return
	}
	if onAnswer != nil {
		onAnswer(r.URL.Path, r.URL.Query().Get("prefix"))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, known := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !known {
		s.answer(w, r, http.StatusNotFound, map[string]uint64{"as_of": revision})
		return
	}
	s.answer(w, r, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Value) <= pageBytes) {
		size += len(items[n].Value)
		n++
	}
	s.answer(w, r, http.StatusOK, map[string]any{"items": items[:n], "has_more": n < len(items), "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	expired := false
	for {
		s.mu.Lock()
		s.prune()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e.item)
			}
		}
		revision, changed, gone := s.revision, s.changed, after < s.oldest || after > s.revision
		s.mu.Unlock()
		switch {
		case gone:
			s.answer(w, r, http.StatusGone, struct{}{})
			return
		case len(events) > 0 || expired:
			s.answer(w, r, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}
