package agent

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/wire"
)

// backend is the socket of one flow or session towards the backend server. The
// source port identifies the flow to the backend server.
type backend struct {
	conn net.Conn
	back atomic.Pointer[netip.AddrPort]
	// trace is the traceparent of the last packet to the backend server, until one
	// is answered. The lock of the agent guards it.
	trace string
}

// dialBackend opens a socket towards the backend server. A local address is given
// for a flow of the predecessor; otherwise the system chooses the port.
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

// serve passes packets of the backend server on until the socket is closed. An
// error such as "connection refused" means that the backend server is down; it
// may come back, so that reading goes on.
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

// write sends a packet; one that cannot be sent is lost like any datagram.
func (b *backend) write(data []byte) {
	_, _ = b.conn.Write(data)
}

func (b *backend) local() netip.AddrPort {
	return b.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (b *backend) close() {
	b.conn.Close()
}

func (b *backend) setReturn(to netip.AddrPort) {
	if old := b.back.Load(); old == nil || *old != to {
		b.back.Store(&to)
	}
}

func (b *backend) returnAddress() netip.AddrPort {
	if to := b.back.Load(); to != nil {
		return *to
	}
	return netip.AddrPort{}
}
