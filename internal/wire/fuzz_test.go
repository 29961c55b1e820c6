package wire_test

import (
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// checkRoundTrip fails the test unless the encoding of a decoded message decodes
// to the same message. The encoding may exceed the size limit, because a negative
// enum value grows from 5 to 10 bytes.
func checkRoundTrip(t *testing.T, data []byte, err error, original proto.Message, decode func([]byte) (proto.Message, error)) {
	if errors.Is(err, wire.ErrTooLarge) {
		return
	}
	if err != nil {
		t.Fatalf("decoded message does not encode: %v", err)
	}
	decoded, err := decode(data)
	if err != nil {
		t.Fatalf("encoded message does not decode: %v", err)
	}
	if !proto.Equal(original, decoded) {
		t.Fatalf("message changed from %v to %v", original, decoded)
	}
}

// Guards against frames that crash the decoder, exceed its limits or change when
// an agent forwards them.
func FuzzDecodeFrame(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &schema.Frame{}
		if wire.DecodeFrame(data, frame) != nil {
			return
		}
		if len(data) > wire.MaxFrame || frame.Body == nil || len(frame.Passed) > wire.MaxPassed {
			t.Fatalf("accepted a frame beyond the limits")
		}
		if caller, err := wire.CallerAddr(frame.Key); err == nil {
			back, err := wire.CallerAddr(wire.FlowKey(frame.Key.Service, caller))
			if err != nil || back != caller {
				t.Fatalf("flow key changed from %v to %v", caller, back)
			}
		}
		out, err := wire.AppendFrame(nil, frame)
		checkRoundTrip(t, out, err, frame, func(data []byte) (proto.Message, error) {
			again := &schema.Frame{}
			return again, wire.DecodeFrame(data, again)
		})
	})
}

// Guards against caller packets that crash the decoder, exceed its limits or
// change when a balancer forwards them.
func FuzzDecodeCaller(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		packet, err := wire.DecodeCaller(data)
		if err != nil {
			return
		}
		if len(data) > wire.MaxPacket || packet.Body == nil || packet.RequestId == 0 {
			t.Fatalf("accepted a packet beyond the limits")
		}
		out, err := wire.EncodeCaller(packet)
		checkRoundTrip(t, out, err, packet, func(data []byte) (proto.Message, error) {
			return wire.DecodeCaller(data)
		})
	})
}

// Guards against a partial decode of the token that disagrees with the decoded
// packet: a target of a packet that has no token.
func FuzzTokenTarget(f *testing.F) {
	data, err := wire.EncodeCaller(&schema.CallerPacket{
		RequestId: 7,
		Token:     &schema.Token{Target: 5, Incarnation: 9, Sequence: 1},
		Body:      &schema.CallerPacket_Ping{Ping: &schema.Ping{Sequence: 1}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x12, 0x02, 0x08, 0x05})
	f.Fuzz(func(t *testing.T, data []byte) {
		target, ok := wire.TokenTarget(data)
		p, err := wire.DecodeCaller(data)
		if err == nil && ok && p.GetToken() == nil {
			t.Fatalf("target %d of a packet without token", target)
		}
	})
}
