package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const documentHeader = `# Settings

Settings are TOML files, read once at start. Reading is strict: an unknown key,
a wrong type, a value out of range or a missing required key is an error, and
all errors of a file are listed. "peridotstall check FILE" reads a file without
starting anything.

This page is rendered from schema/peridotstall.proto. After a change of the
schema, run "go test ./internal/settings -run Document -update".
`

// Document renders the settings reference in Markdown.
func Document() string {
	d := &document{written: map[protoreflect.FullName]bool{}}
	d.WriteString(documentHeader)
	d.role("Balancer", &schema.BalancerSettings{})
	d.role("Agent", &schema.AgentSettings{})
	return d.String()
}

// document is a page that is being written.
type document struct {
	strings.Builder
	// written holds the messages that have a section; roles share some.
	written map[protoreflect.FullName]bool
}

func (d *document) role(title string, m proto.Message) {
	fmt.Fprintf(d, "\n## %s\n", title)
	d.table("", m.ProtoReflect().Descriptor())
}

// table writes the keys of a message, then the tables below it.
func (d *document) table(path string, md protoreflect.MessageDescriptor) {
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
		d.field(fields.Get(i))
	}
	for i := range fields.Len() {
		d.below(path, fields.Get(i))
	}
}

func (d *document) field(fd protoreflect.FieldDescriptor) {
	r := rule(fd)
	standard := r.GetDefault()
	switch {
	case r.GetRequired():
		standard = "required"
	case standard == "" && fd.Kind() == protoreflect.StringKind && !fd.IsList():
		standard = "empty"
	case standard == "" && (fd.IsList() || fd.Message() != nil):
		standard = "none"
	case standard == "":
		standard = "0"
	}
	text := r.GetDoc()
	if text == "" && fd.Message() != nil {
		text = "See its own section."
	}
	fmt.Fprintf(d, "| `%s` | %s | %s | %s |\n", fd.Name(), allowed(fd), standard, text)
}

func (d *document) below(path string, fd protoreflect.FieldDescriptor) {
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
	d.table(name, fd.Message())
}
