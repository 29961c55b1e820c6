package settings

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// table is one TOML table that is being decoded.
type table struct {
	path string
	keys map[string]toml.Primitive
	// exact is false within arrays of several tables, where the TOML library
	// knows only the line of the last one.
	exact bool
}

// key returns the path of a key of the table.
func (t table) key(name string) string {
	quoted := toml.Key{name}.String()
	if t.path == "" {
		return quoted
	}
	return t.path + "." + quoted
}

// decoder collects the faults of one file.
type decoder struct {
	file   string
	meta   *toml.MetaData
	faults []Fault
}

func (d *decoder) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return &Error{Faults: d.faults}
}

func (d *decoder) fault(key string, line int, value, allowed string) {
	d.faults = append(d.faults, Fault{d.file, key, line, value, allowed})
}

// syntax records an error of the TOML library.
func (d *decoder) syntax(err error) {
	var p toml.ParseError
	if errors.As(err, &p) {
		d.fault(p.LastKey, p.Position.Line, p.Message, "valid TOML")
		return
	}
	d.fault("", 0, err.Error(), "valid TOML")
}

// table decodes the keys of a table into a message.
func (d *decoder) table(t table, m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		d.field(t, m, fields.Get(i))
	}
	for _, name := range slices.Sorted(maps.Keys(t.keys)) {
		if fieldByKey(fields, name) == nil {
			p := t.keys[name]
			d.fault(t.key(name), d.line(t, p), "unknown key with value "+show(d.value(p)), "one of the keys "+names(fields))
		}
	}
}

// fieldByKey returns the field that a TOML key names, or nil.
func fieldByKey(fields protoreflect.FieldDescriptors, key string) protoreflect.FieldDescriptor {
	return fields.ByName(protoreflect.Name(key))
}

func names(fields protoreflect.FieldDescriptors) string {
	var out []string
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return strings.Join(out, ", ")
}

// rule returns the rule of a field; never nil.
func rule(fd protoreflect.FieldDescriptor) *schema.Rule {
	r, _ := proto.GetExtension(fd.Options(), schema.E_Rule).(*schema.Rule)
	return r
}

// field decodes one key, or its default when the key is absent.
func (d *decoder) field(t table, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	name := string(fd.Name())
	p, present := t.keys[name]
	if !present {
		d.absent(t, m, fd)
		return
	}
	switch {
	case fd.IsList():
		d.list(t, p, m.Mutable(fd).List(), fd)
	case fd.Message() != nil:
		if keys, ok := d.keys(t, p, t.key(name)); ok {
			d.table(keys, m.Mutable(fd).Message())
		}
	default:
		if v, ok := d.scalar(t.key(name), d.line(t, p), d.value(p), fd); ok {
			m.Set(fd, v)
		}
	}
}

// absent sets the default of a key and reports it when it is required. Absent
// tables are filled with the defaults of their keys.
func (d *decoder) absent(t table, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	r := rule(fd)
	key := t.key(string(fd.Name()))
	switch {
	case r.GetRequired():
		d.fault(key, 0, "missing", "present, "+allowed(fd))
	case r.GetDefault() != "":
		m.Set(fd, defaultValue(fd))
	}
	if fd.Message() != nil && !fd.IsList() {
		d.table(table{path: key}, m.Mutable(fd).Message())
	}
}

// list decodes an array of values or of tables.
func (d *decoder) list(t table, p toml.Primitive, list protoreflect.List, fd protoreflect.FieldDescriptor) {
	key := t.key(string(fd.Name()))
	var elements []toml.Primitive
	if err := d.meta.PrimitiveDecode(p, &elements); err != nil {
		d.fault(key, d.line(t, p), show(d.value(p)), allowed(fd))
		return
	}
	t.exact = t.exact && len(elements) == 1
	for i, element := range elements {
		path := fmt.Sprintf("%s[%d]", key, i)
		if fd.Message() == nil {
			if v, ok := d.scalar(path, d.line(t, element), d.value(element), fd); ok {
				list.Append(v)
			}
			continue
		}
		if keys, ok := d.keys(t, element, path); ok {
			d.table(keys, list.AppendMutable().Message())
		}
	}
}

// keys returns the keys of a table below t.
func (d *decoder) keys(t table, p toml.Primitive, path string) (table, bool) {
	below := table{path: path, exact: t.exact}
	value := d.value(p)
	if _, ok := value.(map[string]any); !ok || d.meta.PrimitiveDecode(p, &below.keys) != nil {
		d.fault(path, d.line(t, p), show(value), "a table")
		return table{}, false
	}
	return below, true
}

// value returns a TOML value as the library represents it.
func (d *decoder) value(p toml.Primitive) any {
	var v any
	if err := d.meta.PrimitiveDecode(p, &v); err != nil {
		return nil
	}
	return v
}

// lineProbe makes the TOML library report the position of a value, which it
// does only in errors.
type lineProbe struct{}

var errProbe = errors.New("position requested")

// UnmarshalTOML implements toml.Unmarshaler.
func (*lineProbe) UnmarshalTOML(any) error { return errProbe }

// line returns the line of a value, or zero.
func (d *decoder) line(t table, p toml.Primitive) int {
	if !t.exact {
		return 0
	}
	var e toml.ParseError
	if errors.As(d.meta.PrimitiveDecode(p, &lineProbe{}), &e) {
		return e.Position.Line
	}
	return 0
}

// scalar converts a TOML value to the type of the field and checks its rule.
func (d *decoder) scalar(key string, line int, value any, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	v, ok := convert(value, fd.Kind())
	if !ok || !inRange(v, fd) || !checkText(v, fd) {
		d.fault(key, line, show(value), allowed(fd))
		return protoreflect.Value{}, false
	}
	return v, true
}

// convert accepts an integer where a float is needed, because the value is the
// same, and no other difference of types.
func convert(value any, kind protoreflect.Kind) (protoreflect.Value, bool) {
	switch v := value.(type) {
	case string:
		return protoreflect.ValueOfString(v), kind == protoreflect.StringKind
	case bool:
		return protoreflect.ValueOfBool(v), kind == protoreflect.BoolKind
	case float64:
		finite := !math.IsNaN(v) && !math.IsInf(v, 0)
		return protoreflect.ValueOfFloat64(v), kind == protoreflect.DoubleKind && finite
	case int64:
		return convertInteger(v, kind)
	default:
		return protoreflect.Value{}, false
	}
}

func convertInteger(v int64, kind protoreflect.Kind) (protoreflect.Value, bool) {
	switch kind {
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(v)), v >= 0 && v <= math.MaxUint32
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(v)), true
	default:
		return protoreflect.Value{}, false
	}
}

func inRange(v protoreflect.Value, fd protoreflect.FieldDescriptor) bool {
	r := rule(fd)
	if r.GetMin() == r.GetMax() {
		return true
	}
	number := 0.0
	switch fd.Kind() {
	case protoreflect.Uint32Kind:
		number = float64(v.Uint())
	case protoreflect.DoubleKind:
		number = v.Float()
	default:
		return true
	}
	return number >= r.GetMin() && number <= r.GetMax()
}

// choices lists the words that text fields are limited to. The rule option has
// no place for them.
var choices = map[protoreflect.FullName][]string{
	"peridotstall.v1.LogSettings.level":  {"debug", "info", "warn", "error"},
	"peridotstall.v1.LogSettings.format": {"text", "json"},
}

func checkText(v protoreflect.Value, fd protoreflect.FieldDescriptor) bool {
	if fd.Kind() != protoreflect.StringKind {
		return true
	}
	text := v.String()
	if text == "" {
		return !rule(fd).GetRequired() && choices[fd.FullName()] == nil
	}
	if words := choices[fd.FullName()]; words != nil {
		return slices.Contains(words, text)
	}
	if rule(fd).GetAddress() {
		_, err := netip.ParseAddrPort(text)
		return err == nil
	}
	return true
}

// defaultValue returns the default of a field. A test checks that the defaults
// of the schema convert.
func defaultValue(fd protoreflect.FieldDescriptor) protoreflect.Value {
	text := rule(fd).GetDefault()
	if fd.Kind() == protoreflect.StringKind {
		return protoreflect.ValueOfString(text)
	}
	number, _ := strconv.ParseInt(text, 10, 64)
	v, _ := convertInteger(number, fd.Kind())
	return v
}

// allowed describes the values of a field.
func allowed(fd protoreflect.FieldDescriptor) string {
	switch {
	case fd.IsList() && fd.Message() != nil:
		return "an array of tables"
	case fd.Message() != nil:
		return "a table"
	case fd.IsList():
		return "an array, each element " + allowedScalar(fd)
	default:
		return allowedScalar(fd)
	}
}

func allowedScalar(fd protoreflect.FieldDescriptor) string {
	r := rule(fd)
	switch fd.Kind() {
	case protoreflect.StringKind:
		return allowedText(fd)
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.Uint32Kind:
		low, high := 0.0, float64(math.MaxUint32)
		if r.GetMin() != r.GetMax() {
			low, high = r.GetMin(), r.GetMax()
		}
		return strings.TrimSpace(fmt.Sprintf("an integer from %.0f to %.0f %s", low, high, r.GetUnit()))
	default:
		if r.GetMin() == r.GetMax() {
			return "a number"
		}
		return strings.TrimSpace(fmt.Sprintf("a number from %g to %g %s", r.GetMin(), r.GetMax(), r.GetUnit()))
	}
}

func allowedText(fd protoreflect.FieldDescriptor) string {
	r := rule(fd)
	words := choices[fd.FullName()]
	switch {
	case words != nil:
		return "one of " + strings.Join(words, ", ")
	case r.GetAddress() && r.GetRequired():
		return "an IP address and a port, such as 192.0.2.1:443"
	case r.GetAddress():
		return "empty, or an IP address and a port, such as 192.0.2.1:443"
	case r.GetRequired():
		return "a string that is not empty"
	default:
		return "a string"
	}
}
