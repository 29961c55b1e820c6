package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	minResend, maxResend = 200 * time.Millisecond, 1600 * time.Millisecond
	targetResends        = 8
)

type flowKey struct{ caller, service end }

// targetFlow is the state of a flow at a target.
type targetFlow struct {
	isn            uint32
	open, ended    bool
	nextIn         uint32
	nextOut, acked uint32
}

// target is a target: it runs requests in slots and publishes its entry.
type target struct {
	id, service, zone string
	ip                string
	born              int64
	slots             int
	store             *store
	rec               *record
	socket            *net.UDPConn
	outbound          *net.UDPAddr
	health            net.Listener
	address           string

	mu       sync.Mutex
	flows    map[flowKey]*targetFlow
	sequence int
	state    string
	work     chan struct{}
	// resets counts the resets that the target sent, by flow.
	resets map[flowKey]int
	done   chan struct{}
}

func startTarget(st *store, rec *record, id, service, zone, ip string, app, outbound uint16, slots int, born int64) (*target, error) {
	address := fmt.Sprintf("%s:%d", ip, app)
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: int(app)})
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", address)
	if err != nil {
		socket.Close()
		return nil, err
	}
	t := &target{id: id, service: service, zone: zone, ip: ip, born: born, slots: slots, store: st, rec: rec, socket: socket,
		outbound: &net.UDPAddr{IP: net.ParseIP(ip), Port: int(outbound)}, health: health, address: address,
		flows: map[flowKey]*targetFlow{}, state: "ready", work: make(chan struct{}, slots), resets: map[flowKey]int{}, done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", id) })
	go http.Serve(health, mux)
	go t.serve()
	t.publish()
	return t, nil
}

func (t *target) publish() {
	t.mu.Lock()
	t.sequence++
	entry := map[string]any{
		"backend": t.service, "address": t.address, "zone": t.zone, "version": "v1", "capacity": t.slots,
		"state": t.state, "warmup_remaining_ms": 0, "sequence": t.sequence, "born": t.born,
	}
	t.mu.Unlock()
	b, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	t.store.put("servers/"+t.id, b)
}

func (t *target) drain() {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.publish()
}

func (t *target) stop() {
	t.socket.Close()
	t.health.Close()
	<-t.done
}

func (t *target) send(b []byte) { t.socket.WriteToUDP(b, t.outbound) }

func (t *target) serve() {
	defer close(t.done)
	buf := make([]byte, 2048)
	for {
		n, _, err := t.socket.ReadFromUDP(buf)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue
		}
		raw := append([]byte(nil), buf[:n]...)
		p, sum, ok := decode(raw)
		if !ok {
			continue
		}
		if sum != sumOf(raw) {
			t.rec.violation("UNASKED", "target %s got a packet that its sender did not write so", t.id)
			continue
		}
		t.handle(p, raw)
	}
}

func (t *target) handle(p packet, raw []byte) {
	key := flowKey{p.src, p.dst}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[key]
	if p.flags&flagSYN != 0 {
		if f == nil || f.ended {
			f = &targetFlow{isn: rand.Uint32(), nextIn: p.seq + 1}
			f.nextOut = f.isn + 1
			t.flows[key] = f
			t.rec.opening(t, key)
		}
		t.send(packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.isn, ack: p.seq + 1}.encode())
		return
	}
	if f == nil || !f.open && p.ack != f.isn+1 {
		raw[30] |= flagBounced
		raw[31] = 0
		t.send(raw)
		t.rec.bounced(t, key)
		return
	}
	if !f.open {
		f.open = true
		t.rec.opened(t, key)
	}
	f.acked = p.ack
	switch {
	case p.flags&flagRST != 0:
		f.ended = true
	case f.ended && p.flags&flagFIN != 0:
		t.send(packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.nextOut, ack: p.seq + 1}.encode())
	case f.ended && len(p.data) > 0:
		t.resets[key]++
		t.send(packet{src: p.dst, dst: p.src, flags: flagRST, seq: f.nextOut, ack: f.nextIn}.encode())
	case f.ended:
	case p.flags&flagFIN != 0:
		f.ended = true
		t.send(packet{src: p.dst, dst: p.src, flags: flagFIN | flagACK, seq: f.nextOut, ack: p.seq + 1}.encode())
	case len(p.data) > 0:
		if p.seq != f.nextIn {
			t.send(packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.nextOut, ack: f.nextIn}.encode())
			return
		}
		f.nextIn += uint32(len(p.data))
		t.send(packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.nextOut, ack: f.nextIn}.encode())
		go t.run(key, f, string(p.data))
	}
}

// run runs one request, which fits one packet, and sends its answer until it is acknowledged.
func (t *target) run(key flowKey, f *targetFlow, request string) {
	id := ""
	for _, line := range strings.Split(request, "\r\n") {
		if v, ok := strings.CutPrefix(line, "X-Request-Id: "); ok {
			id = v
		}
	}
	t.work <- struct{}{}
	t.rec.ran(t, key, id)
	time.Sleep(22 * time.Millisecond)
	<-t.work
	body := "done " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", t.id, len(body), body)
	t.mu.Lock()
	p := packet{src: key.service, dst: key.caller, flags: flagACK, seq: f.nextOut, ack: f.nextIn, data: []byte(answer)}
	f.nextOut += uint32(len(answer))
	end := f.nextOut
	t.mu.Unlock()
	wait := minResend
	for range targetResends {
		t.send(p.encode())
		time.Sleep(wait)
		t.mu.Lock()
		acked := int32(f.acked-end) >= 0
		t.mu.Unlock()
		if acked {
			return
		}
		wait = min(2*wait, maxResend)
	}
}
