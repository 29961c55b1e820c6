package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// node is an edge machine as the routers see it.
type node struct {
	name, zone string
	packets    *net.UDPAddr
	ready      string
	missed     int
	in         bool
}

// router hands packets to edge machines, by the hash kind "steady".
type router struct {
	rec   *record
	zones []string
	mu    sync.Mutex
	nodes []*node
	stop  chan struct{}
}

// probeInterval is the time between two readiness probes of a node, missesOut the number of
// misses that take it out of rotation.
const (
	probeInterval = 500 * time.Millisecond
	missesOut     = 2
)

func newRouter(rec *record, zones []string) *router {
	return &router{rec: rec, zones: zones, stop: make(chan struct{})}
}

func (r *router) add(n *node) {
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	go func() {
		client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for {
			ok := false
			if resp, err := client.Get(n.ready); err == nil {
				resp.Body.Close()
				ok = resp.StatusCode == http.StatusOK
			}
			r.mu.Lock()
			before := n.in
			if ok {
				n.missed, n.in = 0, true
			} else if n.missed++; n.missed >= missesOut {
				n.in = false
			}
			after := n.in
			r.mu.Unlock()
			if before != after {
				r.rec.note("rotation", "%s in rotation: %v", n.name, after)
			}
			select {
			case <-ticker.C:
			case <-r.stop:
				return
			}
		}
	}()
}

func (r *router) inRotation(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		if n.name == name {
			return n.in
		}
	}
	return false
}

// pick returns the node for a flow of a zone's requester.
func (r *router) pick(zone string, key flowKey) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in, others []*node
	for _, n := range r.nodes {
		switch {
		case n.zone == zone:
			all = append(all, n)
			if n.in {
				in = append(in, n)
			}
		case n.in:
			others = append(others, n)
		}
	}
	list := in
	switch {
	case len(in) == 0:
		list = others
	case 2*len(in) < len(all):
		list = all
	}
	var best *node
	var bestScore uint64
	for _, n := range list {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s|%s", key, n.name)
		score := h.Sum64()
		score ^= score >> 33
		score *= 0xff51afd7ed558ccd
		score ^= score >> 33
		if best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

var (
	errNotOpened = errors.New("the flow did not open")
	errReset     = errors.New("the flow was reset")
	errTimeout   = errors.New("no answer within the time limit")
)

// requester is a requester in a zone; each of its flows has a port of its own.
type requester struct {
	zone   string
	ip     [4]byte
	router *router
	rec    *record
	socket *net.UDPConn

	mu    sync.Mutex
	next  uint16
	flows map[uint16]*flow
}

func startRequester(rec *record, r *router, zone, ip string, port uint16) (*requester, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: int(port)})
	if err != nil {
		return nil, err
	}
	q := &requester{zone: zone, ip: [4]byte(net.ParseIP(ip).To4()), router: r, rec: rec, socket: socket, next: 20000, flows: map[uint16]*flow{}}
	go q.receive()
	return q, nil
}

func (q *requester) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := q.socket.ReadFromUDP(buf)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue
		}
		p, sum, ok := decode(buf[:n])
		if !ok {
			continue
		}
		q.mu.Lock()
		f := q.flows[p.dst.port]
		q.mu.Unlock()
		if f == nil || p.src != f.key.service {
			continue
		}
		systemReset := sum == 0 && p.flags&flagRST != 0 && len(p.data) == 0
		if !systemReset && sum != sumOf(buf[:n]) {
			q.rec.violation("MIXED", "%s got a packet that its sender did not write so", f.key)
			continue
		}
		f.take(p, systemReset)
	}
}

// flow is a flow of a requester.
type flow struct {
	q     *requester
	route string
	key   flowKey
	seq   uint32
	// sentAt is the time of the opening packet.
	sentAt time.Duration

	mu       sync.Mutex
	isn      uint32
	expect   uint32
	accepted bool
	reset    bool
	closed   bool
	answers  chan string
	changed  chan struct{}
}

func (f *flow) send(p packet) {
	p.src, p.dst = f.key.caller, f.key.service
	if n := f.q.router.pick(f.q.zone, f.key); n != nil {
		f.q.socket.WriteToUDP(p.encode(), n.packets)
	}
}

func (f *flow) take(p packet, systemReset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.reset {
		return
	}
	if systemReset {
		if f.accepted {
			if distance := int32(p.seq - f.expect); distance > 76800 || distance < -76800 {
				return
			}
			if t := f.q.rec.holder(f.key); t != nil {
				f.q.rec.violation("FLOW", "%s got a reset of the system's own; the flow is open at target %s, which lives", f.key, t.id)
			} else {
				f.q.rec.note("reset", "%s, accepted but not open yet", f.key)
			}
		} else {
			f.q.rec.note("reset", "%s, not open", f.key)
		}
		f.reset = true
		f.wake()
		return
	}
	switch {
	case p.flags&flagRST != 0:
		f.q.rec.note("reset", "%s, by its target", f.key)
		f.reset = true
		f.wake()
	case p.flags&flagSYN != 0:
		if !f.accepted {
			f.accepted, f.isn, f.expect = true, p.seq, p.seq+1
			f.wake()
		} else if p.seq != f.isn {
			return
		}
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.expect})
	case len(p.data) > 0:
		if p.seq == f.expect {
			f.expect += uint32(len(p.data))
			f.answers <- string(p.data)
		}
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.expect})
	}
}

func (f *flow) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// open opens a flow: copies of the opening follow after 200 ms and 600 ms, and after 1.4 s the
// attempt ends.
func (q *requester) open(route string, service end) (*flow, error) {
	q.mu.Lock()
	q.next++
	f := &flow{q: q, route: route, key: flowKey{end{q.ip, q.next}, service}, seq: rand.Uint32(), answers: make(chan string, 16), changed: make(chan struct{})}
	q.flows[q.next] = f
	q.mu.Unlock()
	f.sentAt = q.rec.now()
	start := time.Now()
	f.seq++
	for n, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		f.send(packet{flags: flagSYN, seq: f.seq - 1, ack: uint32(n)})
		timer := time.NewTimer(until - time.Since(start))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		f.mu.Lock()
		accepted, reset := f.accepted, f.reset
		f.mu.Unlock()
		if accepted {
			return f, nil
		}
		if reset {
			break
		}
	}
	f.forget()
	return nil, errNotOpened
}

func (f *flow) forget() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.q.mu.Lock()
	delete(f.q.flows, f.key.caller.port)
	f.q.mu.Unlock()
}

// request sends a request and waits for its answer.
func (f *flow) request(id string, limit time.Duration) error {
	text := fmt.Sprintf("GET /items HTTP/1.1\r\nHost: shop\r\nX-Request-Id: %s\r\n\r\n", id)
	f.q.rec.request(f.key, id)
	start := time.Now()
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	wait := minResend
	for {
		f.mu.Lock()
		changed, reset, expect := f.changed, f.reset, f.expect
		f.mu.Unlock()
		if reset {
			return errReset
		}
		f.send(packet{flags: flagACK, seq: f.seq, ack: expect, data: []byte(text)})
		timer := time.NewTimer(wait)
		select {
		case answer := <-f.answers:
			timer.Stop()
			f.seq += uint32(len(text))
			if !strings.HasSuffix(answer, "done "+id) || !strings.Contains(answer, "X-Server-Stamp: ") {
				f.q.rec.violation("MIXED", "request %s got the answer %q", id, answer)
			}
			f.q.rec.answered(f.key, id, time.Since(start))
			return nil
		case <-changed:
		case <-timer.C:
		case <-deadline.C:
			timer.Stop()
			return errTimeout
		}
		timer.Stop()
		wait = min(2*wait, maxResend)
	}
}

// close closes the flow.
func (f *flow) close() {
	f.mu.Lock()
	expect := f.expect
	f.mu.Unlock()
	f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: expect})
	time.AfterFunc(50*time.Millisecond, func() {
		f.send(packet{flags: flagACK, seq: f.seq + 1, ack: expect + 1})
	})
	time.AfterFunc(2*time.Second, f.forget)
}
