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

// MaxValue is the largest value of the configuration service in bytes.
const MaxValue = 1_000_000

// itemOverhead covers the separators and spaces around one item in the JSON form.
const itemOverhead = 8

// Assemble builds one configuration from an index and its parts, in any order.
// It checks that every part of the index is present once and has the digest
// that the index names. The error lists every fault; the content is not
// validated.
func Assemble(index *schema.Index, parts []*schema.Part) (*schema.Config, error) {
	return new(PartCache).Assemble(index, parts)
}

// PartCache keeps the verified parts of the last configuration, because most
// changes touch one part. The zero value is empty. It is not safe for
// concurrent use.
type PartCache struct {
	byDigest map[sum]*schema.Part
}

// Missing returns the names of the parts of the index that have to be read.
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

// Assemble is like the function Assemble, and takes parts that are not given
// from the cache. On success the cache holds the parts of this index.
func (pc *PartCache) Assemble(index *schema.Index, parts []*schema.Part) (*schema.Config, error) {
	a := &assembly{cache: pc, next: map[sum]*schema.Part{}, listed: map[string]bool{}}
	a.given = partsByName(&a.faults, parts)
	a.config = &schema.Config{Revision: index.GetRevision(), HashKey: index.GetHashKey()}
	a.digest = hashKeySum(index.GetHashKey())
	for i, ref := range index.GetParts() {
		a.add(fmt.Sprintf("parts[%d]", i), ref)
	}
	for _, name := range slices.Sorted(maps.Keys(a.given)) {
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

// assembly is a configuration that is being assembled.
type assembly struct {
	faults
	cache  *PartCache
	given  map[string]*schema.Part
	listed map[string]bool
	next   map[sum]*schema.Part
	config *schema.Config
	digest sum
}

// add adds the part that a reference of the index names.
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

// check returns the given part if it has the digest that the index names.
func (a *assembly) check(path string, ref *schema.PartRef) (*schema.Part, bool) {
	part, ok := a.given[ref.GetName()]
	if !ok {
		a.faults.add(path+".name", ref.GetName(), "the name of a part that was read")
		return nil, false
	}
	got := PartDigest(part)
	if !bytes.Equal(got, ref.GetDigest()) {
		a.faults.add(path+".digest", figuref("%x", ref.GetDigest()), fmt.Sprintf("the digest of the part, %x", got))
		return nil, false
	}
	return part, true
}

func partsByName(f *faults, parts []*schema.Part) map[string]*schema.Part {
	byName := make(map[string]*schema.Part, len(parts))
	for _, p := range parts {
		if _, twice := byName[p.GetName()]; twice {
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
// most limit bytes each.
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
	limit int
	used  int
	parts []*schema.Part
	err   error
}

// partOverhead covers the name and the list names of a part in the JSON form.
const partOverhead = 256

func splitItems[T proto.Message](s *splitter, items []T, add func(*schema.Part, T)) {
	for _, item := range items {
		text, err := protojson.Marshal(item)
		need := len(text) + itemOverhead
		if err == nil && need+partOverhead > s.limit {
			err = errors.Errorf("item of %d bytes does not fit into a part of %d bytes", len(text), s.limit)
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
