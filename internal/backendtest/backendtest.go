// Package backendtest is a backend server for the demo and for tests: it echoes
// datagrams, runs requests over HTTP and counts how often each request ran.
package backendtest

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxDatagram is the largest datagram that is read, in bytes.
const maxDatagram = 2048

// Server is one backend server.
type Server struct {
	name     string
	service  time.Duration
	udp      *net.UDPConn
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	runs     map[string]int
	traces   []string
	peers    map[netip.AddrPort]bool
	busy     time.Duration
	inFlight int
	highest  int
	shed     bool
	draining bool
}

// Start runs a backend server on loopback addresses that the system chooses. A
// request takes the service time.
func Start(name string, service time.Duration) (*Server, error) {
	free := netip.MustParseAddrPort("127.0.0.1:0")
	return Listen(name, service, free, free)
}

// Listen is Start with given addresses for datagrams and for requests.
func Listen(name string, service time.Duration, udpAddress, httpAddress netip.AddrPort) (*Server, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(udpAddress))
	if err != nil {
		return nil, errors.Wrap(err, "bind UDP")
	}
	listener, err := net.Listen("tcp", httpAddress.String())
	if err != nil {
		udp.Close()
		return nil, errors.Wrap(err, "bind TCP")
	}
	s := &Server{
		name:     name,
		service:  service,
		udp:      udp,
		listener: listener,
		runs:     map[string]int{},
		peers:    map[netip.AddrPort]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.handle)
	mux.HandleFunc("GET /health", s.health)
	s.http = &http.Server{Handler: mux}
	go s.echo()
	go s.http.Serve(listener)
	return s, nil
}

// UDP returns the address for datagrams.
func (s *Server) UDP() string {
	return s.udp.LocalAddr().String()
}

// URL returns the base URL for requests.
func (s *Server) URL() string {
	return "http://" + s.listener.Addr().String()
}

// Close stops the server.
func (s *Server) Close() {
	s.udp.Close()
	s.http.Close()
}

// SetShedding makes the server answer requests with 503.
func (s *Server) SetShedding(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shed = on
}

// SetDraining makes the health endpoint say that the server is leaving.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		io.WriteString(w, "draining\n")
		return
	}
	io.WriteString(w, "ok\n")
}

// Runs returns how often each request ran.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Traces returns the traceparent headers of the requests that had one.
func (s *Server) Traces() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.traces)
}

// Peers returns the number of different sources of datagrams.
func (s *Server) Peers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// Busy returns the summed service time of all requests.
func (s *Server) Busy() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// Highest returns the largest number of requests that ran at the same time.
func (s *Server) Highest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

// echo answers each datagram with the name of the server, the source and the
// content, so that a caller sees which server and flow it reached.
func (s *Server) echo() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.peers[from] = true
		s.mu.Unlock()
		reply := append([]byte(s.name+" "+from.String()+" "), buf[:n]...)
		_, _ = s.udp.WriteToUDPAddrPort(reply, from)
	}
}

// handle runs a request. Its identity is its body's first line, which callers
// make unique.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.begin(identity(body), r.Header.Get("traceparent")) {
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	timer := time.NewTimer(s.service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	w.Write(body)
}

func identity(body []byte) string {
	for i, b := range body {
		if b == '\n' {
			return string(body[:i])
		}
	}
	return string(body)
}

func (s *Server) begin(id, trace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shed {
		return false
	}
	s.runs[id]++
	if trace != "" {
		s.traces = append(s.traces, trace)
	}
	s.inFlight++
	s.highest = max(s.highest, s.inFlight)
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.busy += s.service
}
