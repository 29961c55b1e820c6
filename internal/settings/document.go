package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const documentHeader = `# Settings

Settings are TOML files that are read once at start. Parsing is strict: an
unknown key, a wrong type, a value out of range or a missing required key is an
error, and all errors of a file are reported. "peridotstall check FILE" validates
a file without starting a process.

This page is generated from schema/peridotstall.proto. After changing the schema,
run "go test ./internal/settings -run Document -update".
`

// Document returns the settings reference in Markdown.
func Document() string {
	d := &document{written: map[protoreflect.FullName]bool{}}
	d.WriteString(documentHeader)
	d.writeRole("Balancer", &schema.BalancerSettings{})
	d.writeRole("Agent", &schema.AgentSettings{})
	return d.String()
}

// document builds the settings reference.
type document struct {
	strings.Builder
	// written holds the messages that already have a section, because the roles
	// share some.
	written map[protoreflect.FullName]bool
}

func (d *document) writeRole(title string, m proto.Message) {
	fmt.Fprintf(d, "\n## %s\n", title)
	d.writeTable("", m.ProtoReflect().Descriptor())
}

// writeTable writes the section of a message, followed by those of its subtables.
func (d *document) writeTable(path string, md protoreflect.MessageDescriptor) {
	if d.written[md.FullName()] {
		return
	}
	d.written[md.FullName()] = true
	heading := "Top-level keys"
	if path != "" {
		heading = "`" + path + "`"
	}
	fmt.Fprintf(d, "\n### %s\n\n", heading)
	d.WriteString("| Key | Allowed | Default | Description |\n|---|---|---|---|\n")
	fields := md.Fields()
	for i := range fields.Len() {
		d.writeField(fields.Get(i))
	}
	for i := range fields.Len() {
		d.writeSubtables(path, fields.Get(i))
	}
}

func (d *document) writeField(fd protoreflect.FieldDescriptor) {
	r := fieldRule(fd)
	def := r.GetDefault()
	switch {
	case r.GetRequired():
		def = "required"
	case def == "" && fd.Kind() == protoreflect.StringKind && !fd.IsList():
		def = "empty"
	case def == "" && (fd.IsList() || fd.Message() != nil):
		def = "none"
	case def == "":
		def = "0"
	}
	text := r.GetDoc()
	if text == "" && fd.Message() != nil {
		text = "See its own section."
	}
	fmt.Fprintf(d, "| `%s` | %s | %s | %s |\n", fd.Name(), describeAllowed(fd), def, text)
}

func (d *document) writeSubtables(path string, fd protoreflect.FieldDescriptor) {
	if fd.Message() == nil {
		return
	}
	name := string(fd.Name())
	if path != "" {
		name = path + "." + name
	}
	if fd.IsList() {
		name = "[[" + name + "]]"
	}
	d.writeTable(name, fd.Message())
}
