// Package backendtest provides a backend server for the demo and for tests. It
// echoes datagrams, runs HTTP requests and counts how often each request ran.
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

// Server is a backend server. It is safe for concurrent use.
type Server struct {
	name        string
	serviceTime time.Duration
	udp         *net.UDPConn
	listener    net.Listener
	http        *http.Server

	mu           sync.Mutex
	runs         map[string]int
	traceParents []string
	sources      map[netip.AddrPort]bool
	busyTime     time.Duration
	inFlight     int
	maxInFlight  int
	shedding     bool
	draining     bool
}

// Start starts a backend server on free loopback ports. Each request takes the
// service time. The caller must call Close.
func Start(name string, serviceTime time.Duration) (*Server, error) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	return Listen(name, serviceTime, anyPort, anyPort)
}

// Listen is like Start, but listens on the given addresses for datagrams and for
// HTTP requests.
func Listen(name string, serviceTime time.Duration, udpAddress, httpAddress netip.AddrPort) (*Server, error) {
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
		name:        name,
		serviceTime: serviceTime,
		udp:         udp,
		listener:    listener,
		runs:        map[string]int{},
		sources:     map[netip.AddrPort]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.serveRequest)
	mux.HandleFunc("GET /health", s.serveHealth)
	s.http = &http.Server{Handler: mux}
	go s.echoDatagrams()
	go s.http.Serve(listener)
	return s, nil
}

// UDP returns the address for datagrams as "host:port".
func (s *Server) UDP() string {
	return s.udp.LocalAddr().String()
}

// URL returns the base URL for HTTP requests.
func (s *Server) URL() string {
	return "http://" + s.listener.Addr().String()
}

// Close stops the server and closes open connections.
func (s *Server) Close() {
	s.udp.Close()
	s.http.Close()
}

// SetShedding makes the server respond to requests with status 503 while on.
func (s *Server) SetShedding(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedding = on
}

// SetDraining makes the health endpoint report that the server is draining while on.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		io.WriteString(w, "draining\n")
		return
	}
	io.WriteString(w, "ok\n")
}

// Runs returns how often each request ran, by the first line of its body.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// TraceParents returns the traceparent headers of the requests that ran and had one.
func (s *Server) TraceParents() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.traceParents)
}

// SourceCount returns the number of distinct source addresses of datagrams.
func (s *Server) SourceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sources)
}

// BusyTime returns the total service time of all ended requests.
func (s *Server) BusyTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busyTime
}

// MaxInFlight returns the highest number of requests that ran at the same time.
func (s *Server) MaxInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInFlight
}

// echoDatagrams replies to each datagram with the name of the server, the source
// and the content, so that a caller sees which server and flow it reached.
func (s *Server) echoDatagrams() {
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
		s.sources[from] = true
		s.mu.Unlock()
		reply := append([]byte(s.name+" "+from.String()+" "), buf[:n]...)
		_, _ = s.udp.WriteToUDPAddrPort(reply, from)
	}
}

// serveRequest runs a request: it waits for the service time and echoes the body.
// The first line of the body identifies the request; callers make it unique.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.beginRequest(requestID(body), r.Header.Get("traceparent")) {
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	defer s.endRequest()
	timer := time.NewTimer(s.serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	w.Write(body)
}

func requestID(body []byte) string {
	for i, b := range body {
		if b == '\n' {
			return string(body[:i])
		}
	}
	return string(body)
}

func (s *Server) beginRequest(id, traceParent string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shedding {
		return false
	}
	s.runs[id]++
	if traceParent != "" {
		s.traceParents = append(s.traceParents, traceParent)
	}
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	return true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.busyTime += s.serviceTime
}
