// Package tunnel sends and receives frames between the processes of the system
// over one UDP socket per process.
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

// Receiver takes the frames of the control protocols.
type Receiver interface {
	Receive(from netip.AddrPort, f *schema.Frame)
}

// Socket is the frame socket of a process.
type Socket struct {
	conn    *udp.Conn
	metrics *telemetry.Metrics
	buffers sync.Pool
}

// Listen binds the socket.
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

// Send sends a frame. An error means that the datagram did not leave the host;
// callers treat it like a datagram that was lost on the way.
func (s *Socket) Send(to netip.AddrPort, f *schema.Frame) error {
	buf := s.buffers.Get().(*[]byte)
	defer s.buffers.Put(buf)
	data, err := wire.AppendFrame((*buf)[:0], f)
	if err != nil {
		return err
	}
	s.metrics.FramesOut.Inc()
	if isControl(f) {
		s.metrics.ControlBytesOut.Add(len(data))
	}
	return s.conn.Write(data, to)
}

// Serve reads frames until the socket is closed. The frame given to handle is
// valid only during the call. Frames that do not decode are counted and dropped.
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

// Close closes the socket; Serve returns.
func (s *Socket) Close() error {
	return s.conn.Close()
}

func isControl(f *schema.Frame) bool {
	switch f.Body.(type) {
	case *schema.Frame_Packet, *schema.Frame_Answer:
		return false
	default:
		return true
	}
}
