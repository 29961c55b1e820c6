package relay

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// A preamble is a frame prefixed with its length as a big-endian uint16. The
// balancer sends one whose body is an empty packet. The agent replies with an
// empty answer once it is connected to its backend server, or with a flow error.
// After an answer both sides carry the bytes of the connection.

// writeFrame sends one length-prefixed frame.
func writeFrame(c *net.TCPConn, f *schema.Frame) error {
	buf, err := wire.AppendFrame(make([]byte, 2, 128), f)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint16(buf, uint16(len(buf)-2))
	_, err = c.Write(buf)
	return errors.Wrap(err, "write preamble")
}

// readFrame reads one length-prefixed frame and no byte beyond it.
func readFrame(c io.Reader) (*schema.Frame, error) {
	var length [2]byte
	if _, err := io.ReadFull(c, length[:]); err != nil {
		return nil, errors.Wrap(err, "read preamble")
	}
	size := int(binary.BigEndian.Uint16(length[:]))
	if size > wire.MaxFrame {
		return nil, wire.ErrTooLarge
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(c, data); err != nil {
		return nil, errors.Wrap(err, "read preamble")
	}
	f := &schema.Frame{}
	if err := wire.DecodeFrame(data, f); err != nil {
		return nil, err
	}
	return f, nil
}

// exchange sends the preamble of a connection and waits for the agent's reply. It
// returns nil if the agent accepted the connection.
func exchange(c *net.TCPConn, f *schema.Frame, timeout time.Duration) *errkind.Error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "%v", err)
	}
	if err := writeFrame(c, f); err != nil {
		return errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "%v", err)
	}
	reply, err := readFrame(c)
	if err != nil {
		return errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "%v", err)
	}
	switch body := reply.GetBody().(type) {
	case *schema.Frame_Answer:
		if err := c.SetDeadline(time.Time{}); err != nil {
			return errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "%v", err)
		}
		return nil
	case *schema.Frame_FlowError:
		return errkind.New(body.FlowError.GetKind(), "refused by the agent")
	default:
		return errkind.New(schema.ErrorKind_MALFORMED, "unexpected answer of the agent")
	}
}
