// Package segment defines the types of the segment mode, in which packets of a caller's
// connection are forwarded unchanged between the caller and one target.
package segment

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/dchest/siphash"
)

// SipHash key of the flow hash. All balancers use the same key, because each
// has to find the same candidates for a flow.
const (
	hashKey0 = 0x70657269646f7473
	hashKey1 = 0x74616c6c7365676d
)

// SipHash key of the service hash.
const (
	serviceKey0 = 0x7365727669636500
	serviceKey1 = 0x6964656e74697479
)

// FlowSize is the size of an encoded flow in bytes.
const FlowSize = 12

// Endpoint is an IPv4 address and port.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns the endpoint as "address:port".
func (e Endpoint) String() string { return e.AddrPort().String() }

// EndpointFrom converts an address; false if it is not IPv4.
func EndpointFrom(a netip.AddrPort) (Endpoint, bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}
	return Endpoint{IP: ip.As4(), Port: a.Port()}, true
}

// Flow identifies a connection by its two endpoints.
type Flow struct {
	Caller, Service Endpoint
}

// String returns the flow as "caller>service", the form used in logs.
func (f Flow) String() string { return f.Caller.String() + ">" + f.Service.String() }

// Encode returns the flow as FlowSize bytes.
func (f Flow) Encode() [FlowSize]byte {
	var b [FlowSize]byte
	copy(b[0:4], f.Caller.IP[:])
	binary.BigEndian.PutUint16(b[4:6], f.Caller.Port)
	copy(b[6:10], f.Service.IP[:])
	binary.BigEndian.PutUint16(b[10:12], f.Service.Port)
	return b
}

// DecodeFlow decodes the output of Flow.Encode; false if the length is not FlowSize.
func DecodeFlow(b []byte) (Flow, bool) {
	if len(b) != FlowSize {
		return Flow{}, false
	}
	f := Flow{
		Caller:  Endpoint{Port: binary.BigEndian.Uint16(b[4:6])},
		Service: Endpoint{Port: binary.BigEndian.Uint16(b[10:12])},
	}
	copy(f.Caller.IP[:], b[0:4])
	copy(f.Service.IP[:], b[6:10])
	return f, true
}

// Hash returns the keyed hash of the flow.
func (f Flow) Hash() uint64 {
	b := f.Encode()
	return siphash.Hash(hashKey0, hashKey1, b[:])
}

// Head holds the header fields of a segment that balancers and agents use.
type Head struct {
	Source, Destination Endpoint
	// Opening is set on a segment that requests a new connection; Accepted is set if
	// the target accepts it.
	Opening, Accepted bool
	// Ended is set on the last segment of an orderly close, Reset on that of an abort.
	Ended, Reset bool
	// Returned is set on a segment that a target or its agent sent back.
	Returned bool
	// Copy counts the retransmissions of an opening, from 0.
	Copy uint32
	// Sequence is the sequence number of the first payload byte, modulo 2^32.
	Sequence uint32
	// DataLength is the number of payload bytes.
	DataLength int
	// Age is the time since the caller sent the first copy of an opening, as far as it is
	// known; 0 for other segments.
	Age time.Duration
	// Patience is the time until the caller gives up an opening that no target has accepted;
	// 0 if unknown, and for other segments.
	Patience time.Duration
	// RequestSize is the size in bytes of the request that begins in the segment, with its
	// header and body; 0 if none begins there or the size is not known. Parse leaves it 0.
	RequestSize int
	// Mark holds 40 bits that balancers and agents set. A target returns the lower 32
	// unchanged and clears the others.
	Mark uint64
}

// DataEnd returns the sequence number after the last payload byte, modulo 2^32.
func (h Head) DataEnd() uint32 { return h.Sequence + uint32(h.DataLength) }

// FromCaller returns the flow of a segment sent by the caller.
func (h Head) FromCaller() Flow { return Flow{Caller: h.Source, Service: h.Destination} }

// FromTarget returns the flow of a segment sent by the target.
func (h Head) FromTarget() Flow { return Flow{Caller: h.Destination, Service: h.Source} }

// Codec parses and writes the wire format of segments. A platform adapter implements
// it.
type Codec interface {
	// Parse decodes the header fields; false if the bytes are not a valid segment.
	Parse(b []byte) (Head, bool)
	// Data returns the payload of a segment that Parse accepted.
	Data(b []byte) []byte
	// Request returns the identifier of the request that begins in a payload, or nil if
	// none does.
	Request(data []byte) []byte
	// RequestSize returns the size in bytes of the request that begins in a payload, with
	// its header and body; 0 if none begins there or the size is not known.
	RequestSize(data []byte) int
	// Status returns the status of the answer that begins in a payload, or 0 if none
	// does.
	Status(data []byte) int
	// Forwardable clears the returned flag and writes the mark.
	Forwardable(b []byte, mark uint64)
	// Return sets the returned flag and writes the mark.
	Return(b []byte, mark uint64)
	// Reset returns a reset that answers a caller's segment.
	Reset(b []byte) []byte
}

// RequestID is the identifier of a request, truncated to its size and padded with zero
// bytes.
type RequestID [40]byte

// MakeRequestID copies an identifier, truncated if necessary.
func MakeRequestID(b []byte) RequestID {
	var id RequestID
	copy(id[:], b)
	return id
}

// String returns the identifier as text without the padding; empty if there is none.
func (id RequestID) String() string {
	n := 0
	for n < len(id) && id[n] != 0 {
		n++
	}
	return string(id[:n])
}

// Tag is a 16-bit hash of a service name. An agent uses it to recognize segments that
// are meant for another service.
type Tag uint16

// TagOf returns the tag of a service name. It is never 0.
func TagOf(service string) Tag {
	h := fnv.New32a()
	h.Write([]byte(service))
	sum := h.Sum32()
	if tag := Tag(sum ^ sum>>16); tag != 0 {
		return tag
	}
	return 1
}

// ServiceHash is a 32-bit hash of a service name, independent of its tag. It is never 0.
type ServiceHash uint32

// ServiceHashOf returns the hash of a service name.
func ServiceHashOf(service string) ServiceHash {
	return ServiceHash(max(uint32(siphash.Hash(serviceKey0, serviceKey1, []byte(service))), 1))
}

// Identity is what an agent says of the target beside it.
type Identity struct {
	Tag Tag
	// Service is 0 if the agent does not send it.
	Service ServiceHash
	// Port is the port at which the target receives segments; 0 if the agent does not
	// send it.
	Port uint16
}

// IdentityOf returns the identity of a target.
func IdentityOf(service string, port uint16) Identity {
	return Identity{Tag: TagOf(service), Service: ServiceHashOf(service), Port: port}
}

// NamesService reports whether both identities are of the same service. The tag decides
// alone if an agent does not send the hash.
func (i Identity) NamesService(other Identity) bool {
	return i.Tag == other.Tag && (i.Service == 0 || other.Service == 0 || i.Service == other.Service)
}
