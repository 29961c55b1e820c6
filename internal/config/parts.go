package config

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// MaxValueSize is the largest value that the configuration service stores, in bytes.
const MaxValueSize = 1_000_000

// itemOverhead is the size in bytes of the separators and spaces around one item
// in the JSON form.
const itemOverhead = 8

// Assemble builds a configuration from an index and its parts, in any order. It
// checks that every part of the index is present exactly once and has the digest
// given in the index. The error is a *ValidationError that lists every fault.
// The content is not validated.
func Assemble(index *schema.Index, parts []*schema.Part) (*schema.Config, error) {
	return new(PartCache).Assemble(index, parts)
}

// PartCache caches the verified parts of the last assembled configuration,
// because most changes touch a single part. The zero value is an empty cache. It
// is not safe for concurrent use.
type PartCache struct {
	byDigest map[sum]*schema.Part
}

// Missing returns the names of the parts of the index that are not cached and
// have to be read.
func (pc *PartCache) Missing(index *schema.Index) []string {
	var out []string
	for _, ref := range index.GetParts() {
		if _, ok := pc.verified(ref); !ok {
			out = append(out, ref.GetName())
		}
	}
	return out
}

func (pc *PartCache) verified(ref *schema.PartRef) (*schema.Part, bool) {
	if len(ref.GetDigest()) != DigestSize {
		return nil, false
	}
	part, ok := pc.byDigest[sum(ref.GetDigest())]
	return part, ok
}

// Assemble is like the function Assemble, but takes parts from the cache where
// it has them. On success the cache holds exactly the parts of this index.
func (pc *PartCache) Assemble(index *schema.Index, parts []*schema.Part) (*schema.Config, error) {
	a := &assembly{cache: pc, next: map[sum]*schema.Part{}, listed: map[string]bool{}}
	a.parts = partsByName(&a.faults, parts)
	a.config = &schema.Config{Revision: index.GetRevision(), HashKey: index.GetHashKey()}
	a.digest = hashKeySum(index.GetHashKey())
	for i, ref := range index.GetParts() {
		a.add(fmt.Sprintf("parts[%d]", i), ref)
	}
	for _, name := range slices.Sorted(maps.Keys(a.parts)) {
		if !a.listed[name] {
			a.faults.add("parts", name, "a part that the index lists")
		}
	}
	if err := a.err(); err != nil {
		return nil, err
	}
	a.config.Digest = a.digest[:]
	pc.byDigest = a.next
	return a.config, nil
}

// assembly is the state of one call of PartCache.Assemble.
type assembly struct {
	faults
	cache  *PartCache
	parts  map[string]*schema.Part
	listed map[string]bool
	next   map[sum]*schema.Part
	config *schema.Config
	digest sum
}

// add appends the items of the part that ref names.
func (a *assembly) add(path string, ref *schema.PartRef) {
	if a.listed[ref.GetName()] {
		a.faults.add(path+".name", ref.GetName(), "listed once")
		return
	}
	a.listed[ref.GetName()] = true
	part, ok := a.cache.verified(ref)
	if !ok {
		part, ok = a.check(path, ref)
	}
	if !ok {
		return
	}
	got := sum(ref.GetDigest())
	a.digest.xor(got)
	a.next[got] = part
	appendItems(a.config, part)
}

// check returns the part that ref names and reports whether it was read and has
// the digest given in the index.
func (a *assembly) check(path string, ref *schema.PartRef) (*schema.Part, bool) {
	part, ok := a.parts[ref.GetName()]
	if !ok {
		a.faults.add(path+".name", ref.GetName(), "the name of a part that was read")
		return nil, false
	}
	got := PartDigest(part)
	if !bytes.Equal(got, ref.GetDigest()) {
		a.faults.add(path+".digest", unquotedf("%x", ref.GetDigest()), fmt.Sprintf("the digest of the part, %x", got))
		return nil, false
	}
	return part, true
}

func partsByName(f *faults, parts []*schema.Part) map[string]*schema.Part {
	byName := make(map[string]*schema.Part, len(parts))
	for _, p := range parts {
		if _, dup := byName[p.GetName()]; dup {
			f.add("parts", p.GetName(), "a part that was read once")
		}
		byName[p.GetName()] = p
	}
	return byName
}

func appendItems(c *schema.Config, p *schema.Part) {
	c.Members = append(c.Members, p.GetMembers()...)
	c.Services = append(c.Services, p.GetServices()...)
	c.Targets = append(c.Targets, p.GetTargets()...)
	c.Policies = append(c.Policies, p.GetPolicies()...)
}

// Split divides a configuration into an index and parts whose JSON form is at
// most limit bytes each. It returns an error when an item does not fit into a
// part.
func Split(c *schema.Config, limit int) (*schema.Index, []*schema.Part, error) {
	s := &splitter{limit: limit}
	splitItems(s, c.GetMembers(), func(p *schema.Part, m *schema.Member) { p.Members = append(p.Members, m) })
	splitItems(s, c.GetServices(), func(p *schema.Part, m *schema.Service) { p.Services = append(p.Services, m) })
	splitItems(s, c.GetTargets(), func(p *schema.Part, m *schema.Target) { p.Targets = append(p.Targets, m) })
	splitItems(s, c.GetPolicies(), func(p *schema.Part, m *schema.Policy) { p.Policies = append(p.Policies, m) })
	if s.err != nil {
		return nil, nil, s.err
	}
	index := &schema.Index{Revision: c.GetRevision(), HashKey: c.GetHashKey()}
	for _, p := range s.parts {
		index.Parts = append(index.Parts, &schema.PartRef{Name: p.GetName(), Digest: PartDigest(p)})
	}
	return index, s.parts, nil
}

// splitter fills parts one after the other.
type splitter struct {
	limit int // largest JSON form of a part in bytes
	used  int // estimated JSON form of the last part in bytes
	parts []*schema.Part
	err   error
}

// partOverhead is an upper bound in bytes of the JSON form of a part without
// items.
const partOverhead = 256

func splitItems[T proto.Message](s *splitter, items []T, add func(*schema.Part, T)) {
	for _, item := range items {
		text, err := protojson.Marshal(item)
		need := len(text) + itemOverhead
		if err == nil && need+partOverhead > s.limit {
			err = errors.Errorf("item of %d bytes does not fit into a part of at most %d bytes", len(text), s.limit)
		}
		if err != nil {
			s.err = errors.Wrap(err, "split configuration")
			return
		}
		if len(s.parts) == 0 || s.used+need > s.limit {
			s.parts = append(s.parts, &schema.Part{Name: fmt.Sprintf("part-%d", len(s.parts))})
			s.used = partOverhead
		}
		s.used += need
		add(s.parts[len(s.parts)-1], item)
	}
}
