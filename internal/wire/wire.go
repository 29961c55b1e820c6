// Package wire encodes and decodes datagrams: tunnel frames between processes
// and packets of the caller package. Each decoder checks the size limit before
// it parses the content.
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
	// MaxPacket is the maximum size of a caller packet in bytes. A larger one
	// does not fit into an Ethernet frame together with the tunnel header.
	MaxPacket = 1400
	// MaxFrame is the maximum size of a tunnel frame in bytes.
	MaxFrame = 2048
	// MaxFragment is the maximum size of a fragment of a request or answer in
	// bytes. The rest of MaxPacket is for the other fields of the packet.
	MaxFragment = 1200
	// MaxFragments is the maximum number of fragments of a request or answer.
	// With MaxFragment it bounds the size to 4.9 MB.
	MaxFragments = 4096
	// MaxHops is the number of times that agents may forward a frame, and that the
	// relay of a balancer retries a connection on the next target.
	MaxHops = 2
	// MaxPassed is the maximum number of targets in the Passed list of a frame: those
	// that refused the flow or connection, which is retried on the next target.
	// Agents fill the list, and for a connection also the relay of a balancer.
	MaxPassed = 8
)

var (
	// ErrTooLarge reports a datagram that exceeds its size limit.
	ErrTooLarge = errors.New("datagram is too large")
	// ErrMalformed reports a datagram that does not decode, lacks a required
	// field or has an invalid one.
	ErrMalformed = errors.New("datagram is malformed")
)

// AppendFrame appends the encoded frame to buf. It returns ErrTooLarge if the
// encoding exceeds MaxFrame.
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

// DecodeFrame resets f and decodes a frame into it. It returns ErrTooLarge or
// ErrMalformed for an invalid frame.
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

// EncodeCaller encodes a caller packet. It returns ErrTooLarge if the encoding
// exceeds MaxPacket.
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

// DecodeCaller decodes a caller packet. It returns ErrTooLarge or ErrMalformed
// for an invalid packet.
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

// FlowKey returns the schema message of a flow key.
func FlowKey(service uint32, caller netip.AddrPort) *schema.FlowKey {
	return &schema.FlowKey{
		Service:    service,
		CallerIp:   caller.Addr().Unmap().AsSlice(),
		CallerPort: uint32(caller.Port()),
	}
}

// CallerAddr returns the caller address in a flow key, or ErrMalformed if the key
// has no valid one.
func CallerAddr(key *schema.FlowKey) (netip.AddrPort, error) {
	addr, ok := netip.AddrFromSlice(key.GetCallerIp())
	if !ok || key.GetCallerPort() == 0 || key.GetCallerPort() > 65535 {
		return netip.AddrPort{}, ErrMalformed
	}
	return netip.AddrPortFrom(addr.Unmap(), uint16(key.GetCallerPort())), nil
}

// Schema field numbers that TokenTarget reads.
const (
	callerTokenField = 2
	tokenTargetField = 1
)

// TokenTarget returns the target ID in the token of a caller packet and whether
// there is one. It decodes nothing else, because a balancer needs nothing else
// of most packets.
func TokenTarget(data []byte) (uint32, bool) {
	token := fieldValue(data, callerTokenField, protowire.BytesType)
	if token == nil {
		return 0, false
	}
	tokenBytes, n := protowire.ConsumeBytes(token)
	if n < 0 {
		return 0, false
	}
	value := fieldValue(tokenBytes, tokenTargetField, protowire.VarintType)
	target, n := protowire.ConsumeVarint(value)
	if n < 0 || target == 0 || target > math.MaxUint32 {
		return 0, false
	}
	return uint32(target), true
}

// fieldValue returns the data that starts at the value of the first field with
// the given number and type, or nil if there is none.
func fieldValue(data []byte, number protowire.Number, kind protowire.Type) []byte {
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
