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
	// lineKnown is false within arrays of several tables, because the TOML library
	// records only the line of the last one.
	lineKnown bool
}

// key returns the full path of a key of the table.
func (t table) key(name string) string {
	quoted := toml.Key{name}.String()
	if t.path == "" {
		return quoted
	}
	return t.path + "." + quoted
}

// decoder decodes one file and collects its faults.
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

func (d *decoder) addFault(key string, line int, value, allowed string) {
	d.faults = append(d.faults, Fault{d.file, key, line, value, allowed})
}

// addSyntaxError records a parse error of the TOML library as a fault.
func (d *decoder) addSyntaxError(err error) {
	var p toml.ParseError
	if errors.As(err, &p) {
		d.addFault(p.LastKey, p.Position.Line, p.Message, "valid TOML")
		return
	}
	d.addFault("", 0, err.Error(), "valid TOML")
}

// decodeTable decodes the keys of a table into a message and records unknown keys.
func (d *decoder) decodeTable(t table, m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		d.decodeField(t, m, fields.Get(i))
	}
	for _, name := range slices.Sorted(maps.Keys(t.keys)) {
		if fieldByKey(fields, name) == nil {
			p := t.keys[name]
			d.addFault(t.key(name), d.lineOf(t, p), "unknown key with value "+formatValue(d.rawValue(p)), "one of the keys "+fieldNames(fields))
		}
	}
}

// fieldByKey returns the field of a TOML key, or nil if there is none.
func fieldByKey(fields protoreflect.FieldDescriptors, key string) protoreflect.FieldDescriptor {
	return fields.ByName(protoreflect.Name(key))
}

func fieldNames(fields protoreflect.FieldDescriptors) string {
	var out []string
	for i := range fields.Len() {
		out = append(out, string(fields.Get(i).Name()))
	}
	return strings.Join(out, ", ")
}

// fieldRule returns the rule option of a field. Without one, the getters of the
// result return zero values.
func fieldRule(fd protoreflect.FieldDescriptor) *schema.Rule {
	r, _ := proto.GetExtension(fd.Options(), schema.E_Rule).(*schema.Rule)
	return r
}

// decodeField decodes the key of one field, or sets its default when the key is
// absent.
func (d *decoder) decodeField(t table, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	name := string(fd.Name())
	p, present := t.keys[name]
	if !present {
		d.setDefault(t, m, fd)
		return
	}
	switch {
	case fd.IsList():
		d.decodeList(t, p, m.Mutable(fd).List(), fd)
	case fd.Message() != nil:
		if keys, ok := d.subtable(t, p, t.key(name)); ok {
			d.decodeTable(keys, m.Mutable(fd).Message())
		}
	default:
		if v, ok := d.decodeScalar(t.key(name), d.lineOf(t, p), d.rawValue(p), fd); ok {
			m.Set(fd, v)
		}
	}
}

// setDefault sets the default of an absent key, or records a fault when the key is
// required. Absent tables get the defaults of their keys.
func (d *decoder) setDefault(t table, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	r := fieldRule(fd)
	key := t.key(string(fd.Name()))
	switch {
	case r.GetRequired():
		d.addFault(key, 0, "missing", "present, "+describeAllowed(fd))
	case r.GetDefault() != "":
		m.Set(fd, defaultValue(fd))
	}
	if fd.Message() != nil && !fd.IsList() {
		d.decodeTable(table{path: key}, m.Mutable(fd).Message())
	}
}

// decodeList decodes an array of values or of tables.
func (d *decoder) decodeList(t table, p toml.Primitive, list protoreflect.List, fd protoreflect.FieldDescriptor) {
	key := t.key(string(fd.Name()))
	var elements []toml.Primitive
	if err := d.meta.PrimitiveDecode(p, &elements); err != nil {
		d.addFault(key, d.lineOf(t, p), formatValue(d.rawValue(p)), describeAllowed(fd))
		return
	}
	t.lineKnown = t.lineKnown && len(elements) == 1
	for i, element := range elements {
		path := fmt.Sprintf("%s[%d]", key, i)
		if fd.Message() == nil {
			if v, ok := d.decodeScalar(path, d.lineOf(t, element), d.rawValue(element), fd); ok {
				list.Append(v)
			}
			continue
		}
		if keys, ok := d.subtable(t, element, path); ok {
			d.decodeTable(keys, list.AppendMutable().Message())
		}
	}
}

// subtable decodes the table p below t. It records a fault and returns false when
// p is not a table.
func (d *decoder) subtable(t table, p toml.Primitive, path string) (table, bool) {
	sub := table{path: path, lineKnown: t.lineKnown}
	value := d.rawValue(p)
	if _, ok := value.(map[string]any); !ok || d.meta.PrimitiveDecode(p, &sub.keys) != nil {
		d.addFault(path, d.lineOf(t, p), formatValue(value), "a table")
		return table{}, false
	}
	return sub, true
}

// rawValue returns a TOML value in the representation of the library, or nil when
// it cannot be decoded.
func (d *decoder) rawValue(p toml.Primitive) any {
	var v any
	if err := d.meta.PrimitiveDecode(p, &v); err != nil {
		return nil
	}
	return v
}

// lineProbe fails to decode, so that the TOML library reports the position of the
// value. The library exposes positions only in errors.
type lineProbe struct{}

var errLineProbe = errors.New("position requested")

// UnmarshalTOML implements toml.Unmarshaler.
func (*lineProbe) UnmarshalTOML(any) error { return errLineProbe }

// lineOf returns the line of a value, or zero when it is unknown.
func (d *decoder) lineOf(t table, p toml.Primitive) int {
	if !t.lineKnown {
		return 0
	}
	var e toml.ParseError
	if errors.As(d.meta.PrimitiveDecode(p, &lineProbe{}), &e) {
		return e.Position.Line
	}
	return 0
}

// decodeScalar converts a TOML value to the type of the field and checks the rule
// of the field. It records a fault and returns false when the value is invalid.
func (d *decoder) decodeScalar(key string, line int, value any, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	v, ok := convert(value, fd.Kind())
	if !ok || !inRange(v, fd) || !validString(v, fd) {
		d.addFault(key, line, formatValue(value), describeAllowed(fd))
		return protoreflect.Value{}, false
	}
	return v, true
}

// convert converts a TOML value to the kind of a field and reports whether the
// types match. An integer is also accepted for a float, because the value is the
// same.
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

// inRange reports whether a number lies within the bounds of the rule of its
// field. Equal bounds mean that the field has none.
func inRange(v protoreflect.Value, fd protoreflect.FieldDescriptor) bool {
	r := fieldRule(fd)
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

// enumValues lists the valid values of string fields that are enumerations, which
// the rule option cannot express.
var enumValues = map[protoreflect.FullName][]string{
	"peridotstall.v1.LogSettings.level":  {"debug", "info", "warn", "error"},
	"peridotstall.v1.LogSettings.format": {"text", "json"},
}

// validString reports whether a string value meets the rule of its field. It is
// true for other kinds.
func validString(v protoreflect.Value, fd protoreflect.FieldDescriptor) bool {
	if fd.Kind() != protoreflect.StringKind {
		return true
	}
	text := v.String()
	if text == "" {
		return !fieldRule(fd).GetRequired() && enumValues[fd.FullName()] == nil
	}
	if words := enumValues[fd.FullName()]; words != nil {
		return slices.Contains(words, text)
	}
	if fieldRule(fd).GetAddress() {
		_, err := netip.ParseAddrPort(text)
		return err == nil
	}
	return true
}

// defaultValue returns the default of a field. Conversion errors are ignored,
// because a test checks that all defaults of the schema convert.
func defaultValue(fd protoreflect.FieldDescriptor) protoreflect.Value {
	text := fieldRule(fd).GetDefault()
	if fd.Kind() == protoreflect.StringKind {
		return protoreflect.ValueOfString(text)
	}
	number, _ := strconv.ParseInt(text, 10, 64)
	v, _ := convertInteger(number, fd.Kind())
	return v
}

// describeAllowed describes the valid values of a field for faults and for the
// settings reference.
func describeAllowed(fd protoreflect.FieldDescriptor) string {
	switch {
	case fd.IsList() && fd.Message() != nil:
		return "an array of tables"
	case fd.Message() != nil:
		return "a table"
	case fd.IsList():
		return "an array, each element " + describeScalar(fd)
	default:
		return describeScalar(fd)
	}
}

func describeScalar(fd protoreflect.FieldDescriptor) string {
	r := fieldRule(fd)
	switch fd.Kind() {
	case protoreflect.StringKind:
		return describeString(fd)
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

func describeString(fd protoreflect.FieldDescriptor) string {
	r := fieldRule(fd)
	words := enumValues[fd.FullName()]
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
