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
	var f faults
	byName := partsByName(&f, parts)
	c := &schema.Config{Revision: index.GetRevision(), HashKey: index.GetHashKey()}
	digest := hashKeySum(index.GetHashKey())
	listed := map[string]bool{}
	for i, ref := range index.GetParts() {
		path := fmt.Sprintf("parts[%d]", i)
		if listed[ref.GetName()] {
			f.add(path+".name", ref.GetName(), "listed once")
			continue
		}
		listed[ref.GetName()] = true
		part, ok := byName[ref.GetName()]
		if !ok {
			f.add(path+".name", ref.GetName(), "the name of a part that was read")
			continue
		}
		got := PartDigest(part)
		if !bytes.Equal(got, ref.GetDigest()) {
			f.add(path+".digest", figuref("%x", ref.GetDigest()), fmt.Sprintf("the digest of the part, %x", got))
		}
		digest.xor(sum(got))
		appendItems(c, part)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if !listed[name] {
			f.add("parts", name, "a part that the index lists")
		}
	}
	c.Digest = digest[:]
	if err := f.err(); err != nil {
		return nil, err
	}
	return c, nil
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
