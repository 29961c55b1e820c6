package membership

import "testing"

// Guards against a received batch that panics the decoder, yields invalid
// events, or yields more events than the datagram can hold.
func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		events := decodeBatch(data)
		if len(events) > len(data)/10 {
			t.Fatalf("%d events from %d bytes", len(events), len(data))
		}
		for _, e := range events {
			if !valid(e) {
				t.Fatalf("event %+v is not valid", e)
			}
		}
	})
}
