package agent

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/wire"
)

// backend is the UDP socket of one flow or session to the backend server. Its
// source port identifies the flow to the backend server.
type backend struct {
	conn net.Conn
	// returnTo is the balancer through which the last packet of the caller came.
	returnTo atomic.Pointer[netip.AddrPort]
	// trace is the traceparent of the last packet to the backend server. The next
	// response clears it. Agent.mu guards it.
	trace string
}

// dialBackend opens a socket to the backend server. It binds the local address if
// that is valid, to keep the port of a flow of the predecessor; otherwise the
// system chooses the port.
func dialBackend(address string, local netip.AddrPort) (*backend, error) {
	if address == "" {
		return nil, errors.New("backend_udp is not set")
	}
	var dialer net.Dialer
	if local.IsValid() {
		dialer.LocalAddr = net.UDPAddrFromAddrPort(local)
	}
	conn, err := dialer.Dial("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "backend server %s", address)
	}
	return &backend{conn: conn}, nil
}

// serve calls receive with each packet of the backend server until the socket is
// closed. Other errors such as "connection refused" are ignored, because a backend
// server that is down may restart.
func (b *backend) serve(receive func(data []byte)) {
	buf := make([]byte, wire.MaxPacket)
	for {
		n, err := b.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		receive(buf[:n])
	}
}

// write sends a packet. A packet that cannot be sent is lost, like any datagram.
func (b *backend) write(data []byte) {
	_, _ = b.conn.Write(data)
}

func (b *backend) local() netip.AddrPort {
	return b.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (b *backend) close() {
	b.conn.Close()
}

func (b *backend) setReturnAddress(addr netip.AddrPort) {
	if current := b.returnTo.Load(); current == nil || *current != addr {
		b.returnTo.Store(&addr)
	}
}

func (b *backend) returnAddress() netip.AddrPort {
	if addr := b.returnTo.Load(); addr != nil {
		return *addr
	}
	return netip.AddrPort{}
}
