package ctl

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// field is the name of a field, as files of objects use it, and its value.
type field struct{ name, value string }

// fields returns the fields of an object. Fields of nested messages are inserted in place, as in
// files of objects.
func fields(m proto.Message) []field { return fieldsOf(m.ProtoReflect()) }

func fieldsOf(m protoreflect.Message) []field {
	var out []field
	list := m.Descriptor().Fields()
	for i := range list.Len() {
		f := list.Get(i)
		if f.Message() != nil {
			out = append(out, fieldsOf(m.Get(f).Message())...)
			continue
		}
		out = append(out, field{string(f.Name()), valueText(f, m.Get(f))})
	}
	return out
}

func valueText(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if f.IsList() {
		return listText(v.List())
	}
	if f.Kind() == protoreflect.EnumKind {
		return enumText(f.Enum(), v.Enum())
	}
	return v.String()
}

func listText(l protoreflect.List) string {
	items := make([]string, 0, l.Len())
	for i := range l.Len() {
		items = append(items, l.Get(i).String())
	}
	return strings.Join(items, ",")
}

// enumText returns the name of an enum value as files of objects use it: TARGET_STATE_ACTIVE is
// "active".
func enumText(d protoreflect.EnumDescriptor, n protoreflect.EnumNumber) string {
	v := d.Values().ByNumber(n)
	if v == nil {
		return fmt.Sprint(n)
	}
	name := string(v.Name())
	return strings.ToLower(name[strings.LastIndex(name, "_")+1:])
}
