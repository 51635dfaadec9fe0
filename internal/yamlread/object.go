package yamlread

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Object is a mapping whose fields are read by name. Close reports the fields
// that were not read.
type Object struct {
	self   Value
	fields []field
	// faulty is true if the input holds something other than a mapping.
	faulty bool
}

type field struct {
	name  string
	key   ast.Node
	value ast.Node
	read  bool
}

// Object opens a mapping. An absent or null value is a mapping without fields.
func (v Value) Object() *Object {
	o := &Object{self: v}
	switch n := v.node.(type) {
	case nil, *ast.NullNode:
	case ast.MapNode:
		o.load(n)
	default:
		o.faulty = true
		v.Fail("must be a mapping, not %s", kind(v.node))
	}
	return o
}

func (o *Object) load(n ast.MapNode) {
	seen := make(map[string]bool)
	for it := n.MapRange(); it.Next(); {
		f := field{name: it.Key().GetToken().Value, key: it.Key(), value: it.Value()}
		if seen[f.name] {
			o.failField(f, "is given twice")
			continue
		}
		seen[f.name] = true
		o.fields = append(o.fields, f)
	}
}

// Value returns the mapping itself, for findings about it as a whole.
func (o *Object) Value() Value { return o.self }

// Optional returns the value of a field, absent if the field is not there.
func (o *Object) Optional(name string) Value {
	for i := range o.fields {
		if o.fields[i].name == name {
			o.fields[i].read = true
			return Value{doc: o.self.doc, node: o.fields[i].value, path: o.path(name)}
		}
	}
	return Value{doc: o.self.doc, path: o.path(name)}
}

// Required is Optional and reports an absent field.
func (o *Object) Required(name string) Value {
	v := o.Optional(name)
	if !v.Present() && !o.faulty {
		o.self.Fail("%s is missing", name)
	}
	return v
}

// Close reports each field that was not read as unknown.
func (o *Object) Close() {
	for _, f := range o.fields {
		if !f.read {
			o.failField(f, "is not a known field")
		}
	}
}

func (o *Object) failField(f field, message string) {
	o.self.doc.add(f.key.GetToken(), o.path(clip(f.name)), "%s", message)
}

func (o *Object) path(name string) string {
	return strings.TrimPrefix(o.self.path+"."+name, ".")
}
