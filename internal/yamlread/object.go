package yamlread

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Object is a mapping whose fields are read by name. Close reports fields that
// were not read as unknown.
type Object struct {
	value  Value
	fields []field
	// invalid is true if the value in the input is not a mapping.
	invalid bool
}

type field struct {
	name  string
	key   ast.Node
	value ast.Node
	read  bool
}

// Object reads a mapping. An absent or null value is a mapping without fields.
func (v Value) Object() *Object {
	o := &Object{value: v}
	switch n := v.node.(type) {
	case nil, *ast.NullNode:
	case ast.MapNode:
		o.load(n)
	default:
		o.invalid = true
		v.Errorf("must be a mapping, not %s", describeNode(v.node))
	}
	return o
}

func (o *Object) load(mapping ast.MapNode) {
	seen := make(map[string]bool)
	for iter := mapping.MapRange(); iter.Next(); {
		f := field{name: iter.Key().GetToken().Value, key: iter.Key(), value: iter.Value()}
		if seen[f.name] {
			o.fieldError(f, "is a duplicate field")
			continue
		}
		seen[f.name] = true
		o.fields = append(o.fields, f)
	}
}

// Value returns the mapping as a value, to report findings about the mapping itself.
func (o *Object) Value() Value { return o.value }

// Optional returns the value of a field; it is absent if the mapping has no such field.
func (o *Object) Optional(name string) Value {
	for i := range o.fields {
		if o.fields[i].name == name {
			o.fields[i].read = true
			return Value{doc: o.value.doc, node: o.fields[i].value, path: o.path(name)}
		}
	}
	return Value{doc: o.value.doc, path: o.path(name)}
}

// Required is like Optional, but reports an absent field as a finding.
func (o *Object) Required(name string) Value {
	v := o.Optional(name)
	if !v.Present() && !o.invalid {
		o.value.Errorf("%s is missing", name)
	}
	return v
}

// Close reports each field that was not read as unknown.
func (o *Object) Close() {
	for _, f := range o.fields {
		if !f.read {
			o.fieldError(f, "is not a known field")
		}
	}
}

func (o *Object) fieldError(f field, message string) {
	o.value.doc.addFinding(f.key.GetToken(), o.path(truncate(f.name)), "%s", message)
}

func (o *Object) path(name string) string {
	return strings.TrimPrefix(o.value.path+"."+name, ".")
}
