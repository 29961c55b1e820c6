// Package wire encodes and decodes the datagrams of the system: tunnel frames
// between its processes and packets of the caller package. Every decoder
// rejects what is larger than its limit before it looks at the content.
package wire

import (
	"math"
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// MaxPacket is the largest packet of a caller, in bytes. Larger ones would
	// not fit into one Ethernet frame together with the tunnel header.
	MaxPacket = 1400
	// MaxFrame is the largest tunnel frame, in bytes.
	MaxFrame = 2048
	// MaxFragment is the largest piece of a request or answer in one caller
	// packet, in bytes; the rest of MaxPacket is left to the header.
	MaxFragment = 1200
	// MaxFragments bounds the pieces of one request or answer, and with
	// MaxFragment its size: 4.9 MB.
	MaxFragments = 4096
	// MaxHops is the number of times that a frame may pass from agent to agent.
	MaxHops = 2
	// MaxPassed bounds the list of targets that passed a flow on.
	MaxPassed = 8
)

var (
	// ErrTooLarge reports a datagram above its limit.
	ErrTooLarge = errors.New("datagram is too large")
	// ErrMalformed reports a datagram that does not decode or lacks a part.
	ErrMalformed = errors.New("datagram is malformed")
)

// AppendFrame appends the encoded frame to buf.
func AppendFrame(buf []byte, f *schema.Frame) ([]byte, error) {
	start := len(buf)
	out, err := proto.MarshalOptions{}.MarshalAppend(buf, f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(out)-start > MaxFrame {
		return nil, errors.Wrapf(ErrTooLarge, "frame of %d bytes", len(out)-start)
	}
	return out, nil
}

// DecodeFrame decodes a frame into f, which is reset first.
func DecodeFrame(data []byte, f *schema.Frame) error {
	if len(data) > MaxFrame {
		return ErrTooLarge
	}
	if err := proto.Unmarshal(data, f); err != nil {
		return ErrMalformed
	}
	if f.Body == nil || len(f.Passed) > MaxPassed {
		return ErrMalformed
	}
	return nil
}

// EncodeCaller encodes a packet of the caller package.
func EncodeCaller(p *schema.CallerPacket) ([]byte, error) {
	out, err := proto.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode caller packet")
	}
	if len(out) > MaxPacket {
		return nil, errors.Wrapf(ErrTooLarge, "caller packet of %d bytes", len(out))
	}
	return out, nil
}

// DecodeCaller decodes a packet of the caller package.
func DecodeCaller(data []byte) (*schema.CallerPacket, error) {
	if len(data) > MaxPacket {
		return nil, ErrTooLarge
	}
	p := &schema.CallerPacket{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, ErrMalformed
	}
	if p.Body == nil || p.RequestId == 0 {
		return nil, ErrMalformed
	}
	return p, nil
}

// Key builds the message form of a flow key.
func Key(service uint32, caller netip.AddrPort) *schema.FlowKey {
	return &schema.FlowKey{
		Service:    service,
		CallerIp:   caller.Addr().Unmap().AsSlice(),
		CallerPort: uint32(caller.Port()),
	}
}

// Caller returns the caller address of a flow key.
func Caller(k *schema.FlowKey) (netip.AddrPort, error) {
	addr, ok := netip.AddrFromSlice(k.GetCallerIp())
	if !ok || k.GetCallerPort() == 0 || k.GetCallerPort() > 65535 {
		return netip.AddrPort{}, ErrMalformed
	}
	return netip.AddrPortFrom(addr.Unmap(), uint16(k.GetCallerPort())), nil
}

// Numbers of the fields that TokenTarget reads, as in the schema.
const (
	callerTokenField = 2
	tokenTargetField = 1
)

// TokenTarget returns the target that a caller packet names in its token, and
// whether it has one. It decodes no more than that, because a balancer needs
// nothing else of most packets.
func TokenTarget(data []byte) (uint32, bool) {
	token := field(data, callerTokenField, protowire.BytesType)
	if token == nil {
		return 0, false
	}
	raw, n := protowire.ConsumeBytes(token)
	if n < 0 {
		return 0, false
	}
	value := field(raw, tokenTargetField, protowire.VarintType)
	target, n := protowire.ConsumeVarint(value)
	if n < 0 || target == 0 || target > math.MaxUint32 {
		return 0, false
	}
	return uint32(target), true
}

// field returns the data from the value of a field on, or nil.
func field(data []byte, number protowire.Number, kind protowire.Type) []byte {
	for len(data) > 0 {
		num, typ, n := protowire.ConsumeTag(data)
		if n < 0 {
			return nil
		}
		data = data[n:]
		if num == number && typ == kind {
			return data
		}
		n = protowire.ConsumeFieldValue(num, typ, data)
		if n < 0 {
			return nil
		}
		data = data[n:]
	}
	return nil
}
