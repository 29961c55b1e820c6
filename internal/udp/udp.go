// Package udp wraps UDP sockets and reports for each datagram how long it waited
// in the receive queue. After a pause of the process, the queue holds old
// datagrams that must not be taken for new ones.
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
	// full-size datagrams, or 25 ms at 100,000 datagrams per second.
	receiveBuffer = 4 << 20
	// timestampSize is the size in bytes of a control message with a timespec.
	timestampSize = syscall.SizeofCmsghdr + 16
)

// Conn is a bound UDP socket. Read must not be called concurrently; the other
// methods may be.
type Conn struct {
	conn  *net.UDPConn
	local netip.AddrPort
	oob   [64]byte
}

// Listen binds a socket to an IP address and port; port 0 lets the system choose.
func Listen(address string) (*Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "bind UDP address %s", address)
	}
	if err := setOptions(conn); err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "set options of UDP address %s", address)
	}
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Conn{conn: conn, local: Unmap(local)}, nil
}

// setOptions sets the size of the receive queue and enables receive timestamps.
func setOptions(conn *net.UDPConn) error {
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		return err
	}
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = rawConn.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Local returns the bound address.
func (c *Conn) Local() netip.AddrPort {
	return c.local
}

// Read reads one datagram into buf and returns its length, its sender and the
// time that it waited in the receive queue, 0 if unknown. A longer datagram is
// truncated to the length of buf.
func (c *Conn) Read(buf []byte) (int, netip.AddrPort, time.Duration, error) {
	n, oobn, _, from, err := c.conn.ReadMsgUDPAddrPort(buf, c.oob[:])
	if err != nil {
		return 0, netip.AddrPort{}, 0, err
	}
	return n, Unmap(from), queueTime(c.oob[:oobn]), nil
}

// Write sends one datagram to an address.
func (c *Conn) Write(data []byte, to netip.AddrPort) error {
	_, err := c.conn.WriteToUDPAddrPort(data, to)
	return err
}

// Close closes the socket; a pending Read fails with net.ErrClosed.
func (c *Conn) Close() error {
	return c.conn.Close()
}

// SetReadDeadline sets the time at which pending and later calls of Read fail
// with os.ErrDeadlineExceeded; the zero time means never.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.conn.SetReadDeadline(t)
}

// queueTime returns the time since the receive timestamp in a control message, or
// 0 if there is none.
func queueTime(oob []byte) time.Duration {
	if len(oob) < timestampSize {
		return 0
	}
	level := binary.NativeEndian.Uint32(oob[8:])
	messageType := binary.NativeEndian.Uint32(oob[12:])
	if level != syscall.SOL_SOCKET || messageType != syscall.SO_TIMESTAMPNS {
		return 0
	}
	seconds := int64(binary.NativeEndian.Uint64(oob[16:]))
	nanoseconds := int64(binary.NativeEndian.Uint64(oob[24:]))
	return max(time.Since(time.Unix(seconds, nanoseconds)), 0)
}

// Unmap returns the address with an IPv4-mapped IPv6 address converted to IPv4.
func Unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
