package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// gate is a listener that can stop to respond, as one behind a partition does: the opening
// packets of new connections are dropped, because the queue of new connections is full.
type gate struct {
	*net.TCPListener
	mu     sync.Mutex
	open   chan struct{}
	shut   bool
	held   []net.Conn
	filler []int
}

func newGate(l *net.TCPListener) *gate {
	open := make(chan struct{})
	close(open)
	return &gate{TCPListener: l, open: open}
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

// Accept holds connections back while the gate is shut.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		open := g.open
		g.mu.Unlock()
		<-open
		c, err := g.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		if !g.shut {
			g.mu.Unlock()
			return c, nil
		}
		g.held = append(g.held, c)
		g.mu.Unlock()
	}
}

func (g *gate) setBacklog(n int) error {
	raw, err := g.TCPListener.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) { failure = syscall.Listen(int(fd), n) })
	if err == nil {
		err = failure
	}
	return err
}

// close shuts the gate and checks that a new connection gets no response.
func (g *gate) close() error {
	g.mu.Lock()
	g.shut = true
	g.open = make(chan struct{})
	g.mu.Unlock()
	if err := g.setBacklog(0); err != nil {
		return err
	}
	address := g.Addr().(*net.TCPAddr)
	to := &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	for range 4 {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		g.filler = append(g.filler, fd)
		if err := syscall.Connect(fd, to); err != nil && err != syscall.EINPROGRESS {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	if c, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond); err == nil {
		c.Close()
		return fmt.Errorf("the store still takes connections")
	}
	return nil
}

// reopen opens the gate and checks that a new connection is taken.
func (g *gate) reopen() error {
	for _, fd := range g.filler {
		syscall.Close(fd)
	}
	if err := g.setBacklog(128); err != nil {
		return err
	}
	g.mu.Lock()
	for _, c := range g.held {
		c.Close()
	}
	g.held, g.filler, g.shut = nil, nil, false
	close(g.open)
	g.mu.Unlock()
	c, err := net.DialTimeout("tcp4", g.Addr().String(), 500*time.Millisecond)
	if err != nil {
		return err
	}
	return c.Close()
}
