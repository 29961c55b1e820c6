package soak

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/silence"
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
	// unanswered connections are not set up: opening packets are dropped. Open ones stop
	// carrying data.
	unanswered
	// resetting connections are closed at once, open ones with a TCP reset.
	resetting
	modeCount
)

var modeNames = [modeCount]string{"passing", "delayed", "silenced", "deaf", "unanswered", "resetting"}

// copyDelay is the delay of a read on a delayed connection.
const copyDelay = 150 * time.Millisecond

// storeDialTimeout bounds the connection setup to the store stand-in on loopback.
const storeDialTimeout = time.Second

// proxy relays the TCP connections of one process to the store.
type proxy struct {
	listener *silence.Listener
	target   netip.AddrPort
	// ended is closed when no more connections are accepted.
	ended chan struct{}

	// changing is held while the mode changes.
	changing sync.Mutex

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	// answering is closed unless the mode is unanswered; paused is closed once no connection
	// is accepted in that mode.
	answering, paused chan struct{}
}

func startProxy(address, target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "start proxy")
	}
	p := &proxy{
		listener: silence.New(listener.(*net.TCPListener)), target: target, conns: make(map[net.Conn]bool),
		ended: make(chan struct{}), answering: make(chan struct{}), paused: make(chan struct{}),
	}
	close(p.answering)
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	defer close(p.ended)
	for {
		p.waitAnswering()
		conn, err := p.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return
		}
		go p.relay(conn)
	}
}

// waitAnswering waits while the mode is unanswered.
func (p *proxy) waitAnswering() {
	p.mu.Lock()
	answering, paused := p.answering, p.paused
	p.mu.Unlock()
	select {
	case <-answering:
	default:
		close(paused)
		<-answering
	}
}

// set changes the mode. Open connections stay open unless the mode is resetting. It returns an
// error if the listener does not become silent or answer again.
func (p *proxy) set(m mode) error {
	p.changing.Lock()
	defer p.changing.Unlock()
	p.mu.Lock()
	previous := p.mode
	p.mode = m
	p.mu.Unlock()
	var err error
	switch {
	case m == unanswered && previous != unanswered:
		err = p.silence()
	case m != unanswered && previous == unanswered:
		err = p.answer()
	}
	if m == resetting {
		p.resetConnections()
	}
	return err
}

// silence stops accepting, and then fills the queue of new connections.
func (p *proxy) silence() error {
	p.mu.Lock()
	p.answering, p.paused = make(chan struct{}), make(chan struct{})
	paused := p.paused
	p.mu.Unlock()
	if err := p.listener.SetDeadline(time.Now()); err != nil {
		return errors.Wrap(err, "stop accepting connections")
	}
	select {
	case <-paused:
	case <-p.ended:
	}
	return p.listener.Silence()
}

// answer undoes silence.
func (p *proxy) answer() error {
	err := p.listener.Answer()
	if err == nil {
		err = errors.Wrap(p.listener.SetDeadline(time.Time{}), "accept connections again")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.answering)
	return err
}

// resetConnections closes the open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
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
		case m == silenced || m == unanswered || m == deaf && fromStore:
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
	// Nothing uses the listener any more, so that it does not matter whether it answers.
	_ = p.set(resetting)
	p.listener.Close()
}
