package yamlfile

import "github.com/goccy/go-yaml/ast"

// scalarFinder visits a document's nodes until it finds a scalar value.
type scalarFinder struct {
	scalar string
	line   int
	found  bool
}

// Visit implements ast.Visitor.
func (f *scalarFinder) Visit(n ast.Node) ast.Visitor {
	if f.found {
		return nil
	}
	if _, ok := n.(ast.ScalarNode); ok && n.String() == f.scalar {
		f.line, f.found = n.GetToken().Position.Line, true
		return nil
	}
	return f
}
