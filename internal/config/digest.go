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

// xor adds an item to a digest, or removes an item that was added before.
func (s *sum) xor(other sum) {
	subtle.XORBytes(s[:], s[:], other[:])
}

// itemKind is hashed in front of an item, because a member and a policy can have
// the same encoding.
type itemKind byte

const (
	kindHashKey itemKind = iota + 1
	kindMember
	kindService
	kindTarget
	kindPolicy
)

// deterministic marshals map entries in sorted order, so that equal items have
// equal digests.
var deterministic = proto.MarshalOptions{Deterministic: true}

// hasher computes item digests with a reusable buffer.
type hasher struct {
	buf []byte
}

// itemSum returns the digest of one item.
func (h *hasher) itemSum(kind itemKind, m proto.Message) sum {
	h.buf = append(h.buf[:0], byte(kind))
	encoded, err := deterministic.MarshalAppend(h.buf, m)
	if err == nil {
		h.buf = encoded
	}
	// MarshalAppend fails only for invalid UTF-8, which validation rejects.
	return truncate(sha256.Sum256(h.buf))
}

func hashKeySum(key []byte) sum {
	return truncate(sha256.Sum256(append([]byte{byte(kindHashKey)}, key...)))
}

func truncate(full [sha256.Size]byte) sum {
	return sum(full[:DigestSize])
}

// PartDigest returns the digest of the items of a part. The digest of a
// configuration is the XOR of the digests of its parts and of its hash key.
func PartDigest(p *schema.Part) []byte {
	var h hasher
	var total sum
	addItems(&h, &total, kindMember, p.GetMembers())
	addItems(&h, &total, kindService, p.GetServices())
	addItems(&h, &total, kindTarget, p.GetTargets())
	addItems(&h, &total, kindPolicy, p.GetPolicies())
	return total[:]
}

func addItems[T proto.Message](h *hasher, total *sum, kind itemKind, items []T) {
	for _, item := range items {
		total.xor(h.itemSum(kind, item))
	}
}
