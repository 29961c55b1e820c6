package relay

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/wire"
)

// Guards against a malformed preamble that makes a process panic or read without limit.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 2, 0x18, 0x01})
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := readFrame(bytes.NewReader(data))
		if err == nil && proto.Size(frame) > 2*wire.MaxFrame {
			t.Fatalf("frame of %d bytes from a preamble of %d", proto.Size(frame), len(data))
		}
	})
}
