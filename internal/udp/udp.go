// Package udp wraps UDP sockets so that each datagram comes with the time that
// it waited in the receive queue. A process that was paused finds old datagrams
// there and must not take them for new ones.
package udp

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// receiveBuffer is the size of the receive queue in bytes: about 2,500
	// datagrams of full size, 25 ms at 100,000 a second.
	receiveBuffer = 4 << 20
	// timestampSize is the size of a control message with a timespec.
	timestampSize = syscall.SizeofCmsghdr + 16
)

// Conn is a bound UDP socket. Reading is for one goroutine, writing for many.
type Conn struct {
	socket *net.UDPConn
	local  netip.AddrPort
	oob    [64]byte
}

// Listen binds an address; port 0 lets the system choose.
func Listen(address string) (*Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "bind UDP address %s", address)
	}
	if err := prepare(socket); err != nil {
		socket.Close()
		return nil, errors.Wrapf(err, "set options of UDP address %s", address)
	}
	local := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Conn{socket: socket, local: Unmap(local)}, nil
}

// prepare enlarges the receive queue and turns on receive timestamps.
func prepare(socket *net.UDPConn) error {
	if err := socket.SetReadBuffer(receiveBuffer); err != nil {
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var option error
	err = raw.Control(func(fd uintptr) {
		option = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return err
	}
	return option
}

// Local returns the bound address.
func (c *Conn) Local() netip.AddrPort {
	return c.local
}

// Read reads one datagram and returns its length, its sender and how long it
// waited in the receive queue.
func (c *Conn) Read(buf []byte) (int, netip.AddrPort, time.Duration, error) {
	n, oobn, _, from, err := c.socket.ReadMsgUDPAddrPort(buf, c.oob[:])
	if err != nil {
		return 0, netip.AddrPort{}, 0, err
	}
	return n, Unmap(from), queued(c.oob[:oobn]), nil
}

// Write sends one datagram.
func (c *Conn) Write(data []byte, to netip.AddrPort) error {
	_, err := c.socket.WriteToUDPAddrPort(data, to)
	return err
}

// Close closes the socket; a pending Read returns net.ErrClosed.
func (c *Conn) Close() error {
	return c.socket.Close()
}

// SetReadDeadline makes a pending Read return at the given time.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.socket.SetReadDeadline(t)
}

// queued returns the time since the receive timestamp in a control message, or
// 0 when there is none.
func queued(oob []byte) time.Duration {
	if len(oob) < timestampSize {
		return 0
	}
	level := binary.NativeEndian.Uint32(oob[8:])
	kind := binary.NativeEndian.Uint32(oob[12:])
	if level != syscall.SOL_SOCKET || kind != syscall.SO_TIMESTAMPNS {
		return 0
	}
	seconds := int64(binary.NativeEndian.Uint64(oob[16:]))
	nanoseconds := int64(binary.NativeEndian.Uint64(oob[24:]))
	return max(time.Since(time.Unix(seconds, nanoseconds)), 0)
}

// Unmap turns an IPv4 address in IPv6 form into its IPv4 form.
func Unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
