package wire

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// callerRequestIDField is the number of the field that RequestID reads.
const callerRequestIDField = 1

// RequestID returns the request ID of a caller packet without decoding the rest.
func RequestID(data []byte) (uint64, bool) {
	value := field(data, callerRequestIDField, protowire.VarintType)
	id, n := protowire.ConsumeVarint(value)
	return id, n > 0 && id != 0
}

// RequestTraceParent returns the W3C traceparent of the caller's span of a request.
// It is computed from the request ID, which is random, because a caller packet has
// no room for it; so every process knows it. The low half of the trace ID, by which
// the ratio decides, is the request ID itself.
func RequestTraceParent(id uint64) string {
	high := mix(id)
	return fmt.Sprintf("00-%016x%016x-%016x-01", high, id, max(mix(high), 1))
}

// mix is the finalizer of SplitMix64: a bijection that spreads all bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// SameTrace reports whether a traceparent belongs to the trace of a request.
func SameTrace(traceParent string, id uint64) bool {
	const traceEnd = len("00-") + 32
	own := RequestTraceParent(id)
	return len(traceParent) > traceEnd && traceParent[:traceEnd] == own[:traceEnd]
}
