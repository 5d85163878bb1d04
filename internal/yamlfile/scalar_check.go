package yamlfile

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"persimmonbay/internal/problem"
)

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// uncheckedNodes are the types of nodes that are null or refer to another node.
// The decoder checks them.
var uncheckedNodes = map[ast.NodeType]bool{
	ast.NullType: true, ast.AnchorType: true, ast.AliasType: true, ast.TagType: true, ast.MergeKeyType: true,
}

// scalarCheck collects findings, with path and line, for all nodes of a document
// that do not fit the type they are decoded into. Nodes and types that it does
// not handle are left to the decoder.
type scalarCheck struct {
	name     string
	anchors  map[string]ast.Node // by name
	findings problem.Findings
}

func (c *scalarCheck) value(path string, n ast.Node, t reflect.Type) {
	if n == nil {
		return
	}
	if uncheckedNodes[n.Type()] {
		c.wrapped(path, n, t)
		return
	}
	switch {
	case t == durationType:
		c.duration(path, n)
	case reflect.PointerTo(t).Implements(textUnmarshalerType):
		c.text(path, n, t)
	case t.Kind() == reflect.Struct:
		c.structure(path, n, t)
	case t.Kind() == reflect.Slice:
		c.sequence(path, n, t.Elem())
	default:
		c.plain(path, n, t.Kind())
	}
}

// wrapped checks what a tag or an anchor of a list or a mapping holds. It refuses a
// tag without a list where a list is expected, also through an alias, since the
// decoder panics on it.
func (c *scalarCheck) wrapped(path string, n ast.Node, t reflect.Type) {
	if kind := t.Kind(); kind != reflect.Slice && kind != reflect.Struct || reflect.PointerTo(t).Implements(textUnmarshalerType) {
		return
	}
	switch w := n.(type) {
	case *ast.AnchorNode:
		c.value(path, w.Value, t)
	case *ast.TagNode:
		if isTaggedScalar(w) && t.Kind() == reflect.Slice {
			c.addMismatch(path, n, "a list")
			return
		}
		c.value(path, w.Value, t)
	case *ast.AliasNode:
		if tag, ok := c.anchors[w.Value.GetToken().Value].(*ast.TagNode); ok && isTaggedScalar(tag) && t.Kind() == reflect.Slice {
			c.addMismatch(path, n, "a list")
		}
	}
}

func isTaggedScalar(tag *ast.TagNode) bool {
	switch v := tag.Value.(type) {
	case *ast.TagNode:
		return isTaggedScalar(v)
	case ast.ArrayNode:
		return false
	}
	return true
}

func (c *scalarCheck) structure(path string, n ast.Node, t reflect.Type) {
	mapping, ok := n.(ast.MapNode)
	if !ok {
		c.addMismatch(path, n, "a mapping of fields")
		return
	}
	for entries := mapping.MapRange(); entries.Next(); {
		key := entries.Key().GetToken().Value
		if field, ok := fieldOf(t, key); ok {
			c.value(strings.TrimPrefix(path+"."+key, "."), entries.Value(), field.Type)
		}
	}
}

func fieldOf(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ","); name == key {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func (c *scalarCheck) sequence(path string, n ast.Node, element reflect.Type) {
	sequence, ok := n.(*ast.SequenceNode)
	if !ok {
		c.addMismatch(path, n, "a list")
		return
	}
	for i, v := range sequence.Values {
		c.value(fmt.Sprintf("%s[%d]", path, i), v, element)
	}
}

func (c *scalarCheck) duration(path string, n ast.Node) {
	if _, err := time.ParseDuration(n.GetToken().Value); err != nil || !isScalar(n) {
		c.addMismatch(path, n, "a duration, as in 250ms, 5s or 1h30m")
	}
}

func (c *scalarCheck) text(path string, n ast.Node, t reflect.Type) {
	target, _ := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(n.GetToken().Value)); err != nil {
		c.add(path, n, err.Error())
	}
}

func (c *scalarCheck) plain(path string, n ast.Node, kind reflect.Kind) {
	switch kind {
	case reflect.Int, reflect.Int64:
		c.require(path, n, n.Type() == ast.IntegerType, "a whole number")
	case reflect.Float64:
		c.require(path, n, n.Type() == ast.IntegerType || n.Type() == ast.FloatType, "a number")
	case reflect.Bool:
		c.require(path, n, n.Type() == ast.BoolType, "true or false")
	case reflect.String:
		c.require(path, n, isScalar(n), "a string")
	}
}

func (c *scalarCheck) require(path string, n ast.Node, met bool, expected string) {
	if !met {
		c.addMismatch(path, n, expected)
	}
}

func (c *scalarCheck) addMismatch(path string, n ast.Node, expected string) {
	c.add(path, n, fmt.Sprintf("expected %s, found %q", expected, n.GetToken().Value))
}

func (c *scalarCheck) add(path string, n ast.Node, expected string) {
	c.findings = append(c.findings, problem.Finding{File: c.name, Line: n.GetToken().Position.Line, Path: path, Expected: expected})
}

func isScalar(n ast.Node) bool {
	_, ok := n.(ast.ScalarNode)
	return ok
}
