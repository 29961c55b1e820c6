package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is the fault that a proxy applies to its connections.
type mode int

const (
	// passing connections are copied in both directions.
	passing mode = iota
	// delayed connections deliver the bytes of each read after copyDelay.
	delayed
	// silenced connections are accepted but carry no data; open ones stop
	// carrying data.
	silenced
	// deaf connections carry data of the process, but none of the store.
	deaf
	// resetting connections are closed at once, open ones with a TCP reset.
	resetting
	modeCount
)

var modeNames = [modeCount]string{"passing", "delayed", "silenced", "deaf", "resetting"}

// copyDelay is the delay of a read on a delayed connection.
const copyDelay = 150 * time.Millisecond

// storeDialTimeout bounds the connection setup to the store stand-in on loopback.
const storeDialTimeout = time.Second

// proxy relays the TCP connections of one process to the store.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func startProxy(address, target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "start proxy")
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(conn)
	}
}

// set changes the mode. Open connections stay open unless the mode is resetting.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != resetting {
		return
	}
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// If the option fails, an ordinary close still ends the connection.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

func (p *proxy) relay(conn net.Conn) {
	defer conn.Close()
	if p.currentMode() == resetting {
		return
	}
	store, err := net.DialTimeout("tcp4", p.target.String(), storeDialTimeout)
	if err != nil {
		return
	}
	defer store.Close()
	p.track(conn, true)
	defer p.track(conn, false)
	go p.copy(store, conn, false)
	p.copy(conn, store, true)
}

// copy relays one direction until either end closes.
func (p *proxy) copy(to io.WriteCloser, from io.Reader, fromStore bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch m := p.currentMode(); {
		case m == silenced || m == deaf && fromStore:
			// The bytes are dropped, so the peer waits for data that never comes.
			continue
		case m == delayed:
			time.Sleep(copyDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.set(resetting)
}
