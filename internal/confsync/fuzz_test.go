package confsync

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// Guards against a frame from a peer that panics the process or puts an invalid
// configuration in force.
func FuzzReceive(f *testing.F) {
	seed := func(frame *schema.Frame) {
		data, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(&schema.Frame{Body: &schema.Frame_RevisionNote{RevisionNote: &schema.RevisionNote{Revision: 9, Reply: true, Serving: true}}})
	seed(&schema.Frame{Body: &schema.Frame_ConfigPull{ConfigPull: &schema.ConfigPull{Revision: 1, FromChunk: 7}}})
	seed(&schema.Frame{Body: &schema.Frame_ConfigDelta{ConfigDelta: &schema.ConfigDelta{FromRevision: 1, ToRevision: 2}}})
	seed(&schema.Frame{Body: &schema.Frame_ConfigChunk{ConfigChunk: &schema.ConfigChunk{
		Content: schema.ConfigChunk_HOSTS, Revision: 2, Count: 1, Data: []byte{8, 2},
	}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &schema.Frame{}
		if wire.DecodeFrame(data, frame) != nil {
			return
		}
		peer := netip.MustParseAddrPort("10.0.0.1:1")
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		store := config.NewStore(time.Minute)
		s := New(Settings{Host: "self", Peers: []netip.AddrPort{peer}}, store, noFailures{}, rand.New(rand.NewPCG(1, 1)))
		for range 3 {
			now = now.Add(100 * time.Millisecond)
			s.Tick(now)
			s.Receive(now, peer, frame)
		}
		if current := store.Current(); current != nil {
			if _, err := config.NewSnapshot(current.Config()); err != nil {
				t.Fatalf("configuration in force is not valid: %v", err)
			}
		}
	})
}
