package config

import (
	"crypto/sha256"
	"crypto/subtle"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// DigestSize is the size of a configuration or part digest in bytes.
const DigestSize = 16

// sum is the digest of one item, or the XOR of the digests of several items.
type sum [DigestSize]byte

// xor adds an item to a digest, or takes it out again.
func (s *sum) xor(other sum) {
	subtle.XORBytes(s[:], s[:], other[:])
}

// itemKind separates the kinds of items in a digest, because a member and a
// policy can have the same encoding.
type itemKind byte

const (
	kindHashKey itemKind = iota + 1
	kindMember
	kindService
	kindTarget
	kindPolicy
)

// deterministic sorts map entries, so that equal items have equal digests.
var deterministic = proto.MarshalOptions{Deterministic: true}

// hasher computes item digests and reuses its buffer between them.
type hasher struct {
	buf []byte
}

// item returns the digest of one item.
func (h *hasher) item(kind itemKind, m proto.Message) sum {
	h.buf = append(h.buf[:0], byte(kind))
	encoded, err := deterministic.MarshalAppend(h.buf, m)
	if err == nil {
		h.buf = encoded
	}
	// Encoding fails only for invalid UTF-8, which validation rejects.
	return truncate(sha256.Sum256(h.buf))
}

func hashKeySum(key []byte) sum {
	return truncate(sha256.Sum256(append([]byte{byte(kindHashKey)}, key...)))
}

func truncate(full [sha256.Size]byte) sum {
	return sum(full[:DigestSize])
}

// PartDigest returns the digest of the items of a part. The digest of a
// configuration is the XOR of its part digests and that of the hash key.
func PartDigest(p *schema.Part) []byte {
	var h hasher
	var total sum
	addAll(&h, &total, kindMember, p.GetMembers())
	addAll(&h, &total, kindService, p.GetServices())
	addAll(&h, &total, kindTarget, p.GetTargets())
	addAll(&h, &total, kindPolicy, p.GetPolicies())
	return total[:]
}

func addAll[T proto.Message](h *hasher, total *sum, kind itemKind, items []T) {
	for _, item := range items {
		total.xor(h.item(kind, item))
	}
}
