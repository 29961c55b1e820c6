package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// plainInterval is the time between two packets of a plain flow.
	plainInterval = 100 * time.Millisecond
	// replyTimeout is the time without a reply after which a flow counts as broken. It
	// is far above the time in which a handover is decided.
	replyTimeout = 2 * time.Second
)

// plainFlow is a flow of a datagram service. The caller sends packets to random
// balancers, and all of them must reach the same backend socket.
type plainFlow struct {
	member  string
	service uint32
	conn    *net.UDPConn
	rng     *rand.Rand
	opened  time.Time

	mu        sync.Mutex
	backend   string // name of the backend server and source port of the flow
	switched  bool
	lastReply time.Time
	sent      int
	answered  int
}

func openPlain(member string, service uint32, seed uint64) (*plainFlow, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &plainFlow{
		member:  member,
		service: service,
		conn:    conn,
		rng:     rand.New(rand.NewPCG(seed, uint64(service))),
		opened:  time.Now(),
	}, nil
}

// run sends packets until the context ends. Replies are received until the socket is
// closed.
func (p *plainFlow) run(ctx context.Context, addresses func() []netip.AddrPort) {
	go p.receive()
	ticker := time.NewTicker(plainInterval)
	defer ticker.Stop()
	for {
		p.send(addresses())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *plainFlow) send(to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	p.mu.Lock()
	p.sent++
	text := fmt.Sprintf("packet %d", p.sent)
	p.mu.Unlock()
	_, _ = p.conn.WriteToUDPAddrPort([]byte(text), to[p.rng.IntN(len(to))])
}

// receive reads replies until the socket is closed.
func (p *plainFlow) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p.record(string(buf[:n]))
	}
}

// record compares the backend socket of a reply with that of the first reply. A reply
// begins with the name of the backend server and the source address of the packet.
func (p *plainFlow) record(reply string) {
	fields := strings.SplitN(reply, " ", 3)
	if len(fields) < 3 {
		return
	}
	backend := fields[0] + " " + fields[1]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered++
	p.lastReply = time.Now()
	if p.backend == "" {
		p.backend = backend
	}
	p.switched = p.switched || p.backend != backend
}

// changed reports whether the flow reached a second backend socket.
func (p *plainFlow) changed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.switched
}

// silent reports whether the flow has had no reply for more than replyTimeout.
func (p *plainFlow) silent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.lastReply
	if last.IsZero() {
		last = p.opened
	}
	return now.Sub(last) > replyTimeout
}
