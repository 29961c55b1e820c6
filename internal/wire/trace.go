package wire

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// requestIDField is the schema field number that RequestID reads.
const requestIDField = 1

// RequestID returns the request ID of a caller packet and whether it has a valid
// one. It does not decode the rest of the packet.
func RequestID(data []byte) (uint64, bool) {
	value := fieldValue(data, requestIDField, protowire.VarintType)
	id, n := protowire.ConsumeVarint(value)
	return id, n > 0 && id != 0
}

// RequestTraceParent returns the W3C traceparent of the caller's span of a request.
// Every process computes it from the request ID, which is random, because caller
// packets have no space for it. The low half of the trace ID, which decides about
// sampling by ratio, is the request ID itself.
func RequestTraceParent(id uint64) string {
	traceHigh := splitMix64(id)
	return fmt.Sprintf("00-%016x%016x-%016x-01", traceHigh, id, max(splitMix64(traceHigh), 1))
}

// splitMix64 is one step of the SplitMix64 generator: a bijection in which each
// input bit affects all output bits.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// SameTrace reports whether a traceparent has the trace ID of a request.
func SameTrace(traceParent string, id uint64) bool {
	const traceEnd = len("00-") + 32
	requestTrace := RequestTraceParent(id)
	return len(traceParent) > traceEnd && traceParent[:traceEnd] == requestTrace[:traceEnd]
}
