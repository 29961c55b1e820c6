package config

import (
	"bytes"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against a configuration that changes when it is split and assembled
// again, and against parts above the size limit.
func TestSplitAndAssemble(t *testing.T) {
	c := qt.New(t)
	const limit = 1000
	index, parts, err := Split(testConfig(3), limit)
	c.Assert(err, qt.IsNil)
	c.Check(len(parts) > 1, qt.IsTrue)
	for _, p := range parts {
		text, err := protojson.Marshal(p)
		c.Assert(err, qt.IsNil)
		c.Check(len(text) <= limit, qt.IsTrue, qt.Commentf("%s has %d bytes", p.GetName(), len(text)))
	}
	full, err := Assemble(index, parts)
	c.Assert(err, qt.IsNil)
	got, err := NewSnapshot(full)
	c.Assert(err, qt.IsNil)
	want, err := NewSnapshot(testConfig(3))
	c.Assert(err, qt.IsNil)
	c.Check(got.Digest(), qt.DeepEquals, want.Digest())
}

// Guards against cached parts that hide a change, and against reading unchanged
// parts again.
func TestPartCache(t *testing.T) {
	c := qt.New(t)
	var cache PartCache
	s := NewStore(testWindow)
	assemble := func(full *schema.Config) []string {
		index, parts, err := Split(full, 1000)
		c.Assert(err, qt.IsNil)
		missing := cache.Missing(index)
		read := slices.DeleteFunc(parts, func(p *schema.Part) bool { return !slices.Contains(missing, p.GetName()) })
		got, err := cache.Assemble(index, read)
		c.Assert(err, qt.IsNil)
		decision, err := s.Offer(start, got)
		c.Assert(err, qt.IsNil)
		c.Assert(decision, qt.Equals, Accepted)
		fresh, err := NewSnapshot(full)
		c.Assert(err, qt.IsNil)
		c.Assert(s.Current().Digest(), qt.DeepEquals, fresh.Digest())
		return missing
	}
	c.Check(assemble(testConfig(1)), qt.DeepEquals, []string{"part-0", "part-1", "part-2"})
	before, _ := s.Current().Target(1)
	c.Check(assemble(modified(2, func(c *schema.Config) { c.Policies[1].Priority = 7 })), qt.DeepEquals, []string{"part-2"})
	after, _ := s.Current().Target(1)
	c.Check(before == after, qt.IsTrue)
}

// Guards against assembling parts of different revisions into one configuration,
// which happens when the parts change between two reads.
func TestAssembleFaults(t *testing.T) {
	for _, test := range []struct {
		about  string
		change func(index *schema.Index, parts []*schema.Part) []*schema.Part
		field  string
	}{
		{"missing", func(_ *schema.Index, p []*schema.Part) []*schema.Part { return p[1:] }, "parts[0].name"},
		{"altered", func(_ *schema.Index, p []*schema.Part) []*schema.Part { p[0].Members[0].Weight++; return p }, "parts[0].digest"},
		{"unlisted", func(_ *schema.Index, p []*schema.Part) []*schema.Part {
			return append(p, &schema.Part{Name: "other"})
		}, "parts"},
		{"read twice", func(_ *schema.Index, p []*schema.Part) []*schema.Part { return append(p, p[0]) }, "parts"},
		{"listed twice", func(x *schema.Index, p []*schema.Part) []*schema.Part {
			x.Parts = append(x.Parts, x.Parts[0])
			return p
		}, "parts[3].name"},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			index, parts, err := Split(testConfig(3), 1000)
			c.Assert(err, qt.IsNil)
			c.Assert(len(parts), qt.Equals, 3)
			_, err = Assemble(index, test.change(index, parts))
			list, ok := err.(*ValidationError)
			c.Assert(ok, qt.IsTrue, qt.Commentf("error %v", err))
			c.Check(list.Faults[0].Field, qt.Equals, test.field)
		})
	}
}

// Guards against an impact report that omits a change.
func TestImpact(t *testing.T) {
	c := qt.New(t)
	from, err := NewSnapshot(testConfig(1))
	c.Assert(err, qt.IsNil)
	to, err := NewSnapshot(modified(2, func(c *schema.Config) {
		c.Services[0].Labels["tier"] = "other"
		c.Services = append(c.Services, testService(3, "extra"))
		c.Targets[0] = testTarget(5, "front")
		c.Targets[1].Capacity = 50
	}))
	c.Assert(err, qt.IsNil)
	got := Impact(from, to)
	c.Check(got.Services, qt.DeepEquals, Changes{Added: []Item{{3, "extra"}}, Changed: []Item{{2, "images"}}})
	c.Check(got.Targets, qt.DeepEquals, Changes{Added: []Item{{5, "h5"}}, Removed: []Item{{4, "h4"}}, Changed: []Item{{1, "h1"}}})
	c.Check(got.Retargeted, qt.DeepEquals, []Item{{1, "front"}, {2, "images"}})
	all := []Item{{1, "front"}, {2, "images"}, {3, "extra"}}
	c.Check(got.Policies, qt.DeepEquals, []PolicyImpact{
		{Name: "all", Matched: all, InForce: all, Gained: all[1:]},
		{Name: "uploads", Lost: all[1:2]},
	})
}

// Guards against input that makes parsing or validation panic, and against a
// valid configuration that changes when its JSON form is parsed again.
func FuzzParse(f *testing.F) {
	valid, err := protojson.Marshal(testConfig(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		s, err := NewSnapshot(c)
		if err != nil {
			return
		}
		text, err := protojson.Marshal(s.Config())
		qt.Assert(t, err, qt.IsNil)
		again, err := Parse(text)
		qt.Assert(t, err, qt.IsNil)
		second, err := NewSnapshot(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(s.Digest(), second.Digest()), qt.IsTrue)
	})
}
