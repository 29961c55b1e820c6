// Package tunnel sends and receives frames among balancers and agents, over one
// UDP socket per process.
package tunnel

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/udp"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// Receiver handles the frames of a control protocol.
type Receiver interface {
	Receive(from netip.AddrPort, f *schema.Frame)
}

// Socket is the UDP socket on which a process exchanges frames.
type Socket struct {
	conn    *udp.Conn
	metrics *telemetry.Metrics
	buffers sync.Pool
}

// Listen binds a socket to an IP address and port; port 0 lets the system choose.
func Listen(address string, metrics *telemetry.Metrics) (*Socket, error) {
	conn, err := udp.Listen(address)
	if err != nil {
		return nil, err
	}
	s := &Socket{conn: conn, metrics: metrics}
	s.buffers.New = func() any {
		buf := make([]byte, 0, wire.MaxFrame)
		return &buf
	}
	return s, nil
}

// Local returns the bound address.
func (s *Socket) Local() netip.AddrPort {
	return s.conn.Local()
}

// Send encodes and sends a frame. After an error the datagram did not leave the
// host; callers treat it like a datagram that the network lost.
func (s *Socket) Send(to netip.AddrPort, f *schema.Frame) error {
	buf := s.buffers.Get().(*[]byte)
	defer s.buffers.Put(buf)
	data, err := wire.AppendFrame((*buf)[:0], f)
	if err != nil {
		return err
	}
	s.metrics.FramesOut.Inc()
	if controlFrame(f) {
		s.metrics.ControlBytesOut.Add(len(data))
	}
	return s.conn.Write(data, to)
}

// Serve reads frames and calls handle for each until the socket is closed; it
// then returns nil. age is the time that the datagram waited in the receive
// queue. The frame is valid only during the call. Frames that do not decode are
// counted as errors and dropped.
func (s *Socket) Serve(handle func(from netip.AddrPort, age time.Duration, f *schema.Frame)) error {
	buf := make([]byte, wire.MaxFrame+1)
	f := &schema.Frame{}
	for {
		n, from, age, err := s.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read frame")
		}
		s.metrics.FramesIn.Inc()
		switch err := wire.DecodeFrame(buf[:n], f); {
		case errors.Is(err, wire.ErrTooLarge):
			s.metrics.Error(schema.ErrorKind_TOO_LARGE)
		case err != nil:
			s.metrics.Error(schema.ErrorKind_MALFORMED)
		default:
			handle(from, age, f)
		}
	}
}

// Close closes the socket, which makes Serve return.
func (s *Socket) Close() error {
	return s.conn.Close()
}

func controlFrame(f *schema.Frame) bool {
	switch f.Body.(type) {
	case *schema.Frame_Packet, *schema.Frame_Answer:
		return false
	default:
		return true
	}
}
