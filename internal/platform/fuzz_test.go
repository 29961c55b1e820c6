package platform

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against a response of the configuration service that makes a process panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":"3","parts":[{"name":"a","digest":"AAAA"}]}`))
	f.Add([]byte(`{"version":"1","hosts":[{"name":"h","state":"LIVE"}]}`))
	f.Add([]byte(`{"targets":[{"id":1,"labels":{"a":"b"}}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []proto.Message{&schema.Index{}, &schema.Part{}, &schema.HostList{}} {
			if err := decode("fuzz", bytes.NewReader(data), m); err != nil {
				continue
			}
			if _, err := proto.Marshal(m); err != nil {
				t.Fatalf("encode decoded response: %v", err)
			}
		}
	})
}
