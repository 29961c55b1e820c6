package wire_test

import (
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// checkAgain fails when a decoded message does not survive its own encoding. The
// encoding may pass the limit, because a negative enum grows from 5 to 10 bytes.
func checkAgain(t *testing.T, data []byte, err error, message proto.Message, decode func([]byte) (proto.Message, error)) {
	if errors.Is(err, wire.ErrTooLarge) {
		return
	}
	if err != nil {
		t.Fatalf("decoded message does not encode: %v", err)
	}
	again, err := decode(data)
	if err != nil {
		t.Fatalf("encoded message does not decode: %v", err)
	}
	if !proto.Equal(message, again) {
		t.Fatalf("message changed from %v to %v", message, again)
	}
}

// Guards against frames that crash the decoder, pass its limits or change when
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
		if caller, err := wire.Caller(frame.Key); err == nil {
			back, err := wire.Caller(wire.Key(frame.Key.Service, caller))
			if err != nil || back != caller {
				t.Fatalf("flow key changed from %v to %v", caller, back)
			}
		}
		out, err := wire.AppendFrame(nil, frame)
		checkAgain(t, out, err, frame, func(data []byte) (proto.Message, error) {
			again := &schema.Frame{}
			return again, wire.DecodeFrame(data, again)
		})
	})
}

// Guards against caller packets that crash the decoder, pass its limits or
// change on the way through a balancer.
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
		checkAgain(t, out, err, packet, func(data []byte) (proto.Message, error) {
			return wire.DecodeCaller(data)
		})
	})
}

// Guards against a short look at the token that names another target than the
// whole packet does.
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
