package control

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// kind is a type of control message.
type kind int

const (
	kindOther kind = iota
	kindRevisionNote
	kindPull
	kindDelta
	kindConfigChunk
	kindEvents
	kindAnnounce
	kindProbe
	kindProbeReply
	kindVerdict
	kindCount
)

var kindNames = [kindCount]string{
	"other", "revision_note", "config_pull", "config_delta", "config_chunk",
	"events", "announce", "probe", "probe_reply", "verdict",
}

// packetOverhead is the size of the IPv4 and UDP headers in bytes, counted with
// each message.
const packetOverhead = 28

func kindOf(f *schema.Frame) kind {
	switch body := f.GetBody().(type) {
	case *schema.Frame_RevisionNote:
		return kindRevisionNote
	case *schema.Frame_ConfigPull:
		return kindPull
	case *schema.Frame_ConfigDelta:
		return kindDelta
	case *schema.Frame_ConfigChunk:
		if body.ConfigChunk.GetContent() == schema.ConfigChunk_CONTENT_UNSPECIFIED {
			return kindEvents
		}
		return kindConfigChunk
	case *schema.Frame_Announce:
		return kindAnnounce
	case *schema.Frame_Probe:
		return kindProbe
	case *schema.Frame_ProbeReply:
		return kindProbeReply
	case *schema.Frame_Verdict:
		return kindVerdict
	}
	return kindOther
}

// counter counts messages and their bytes with the packet headers.
type counter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// traffic counts the control messages of a process by type.
type traffic struct {
	sent     [kindCount]counter
	received [kindCount]counter
}

func (t *traffic) countSent(f *schema.Frame)     { count(&t.sent, f) }
func (t *traffic) countReceived(f *schema.Frame) { count(&t.received, f) }

func count(counters *[kindCount]counter, f *schema.Frame) {
	c := &counters[kindOf(f)]
	c.messages.Add(1)
	c.bytes.Add(uint64(proto.Size(f) + packetOverhead))
}

// Count is the number of messages of a type and their bytes, with packet headers.
type Count struct{ Messages, Bytes uint64 }

// Traffic lists the control traffic of a process by message type.
type Traffic struct{ Sent, Received map[string]Count }

func (t *traffic) read() Traffic {
	return Traffic{Sent: counts(&t.sent), Received: counts(&t.received)}
}

func counts(counters *[kindCount]counter) map[string]Count {
	out := map[string]Count{}
	for k := range counters {
		if c := &counters[k]; c.messages.Load() > 0 {
			out[kindNames[k]] = Count{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
		}
	}
	return out
}
