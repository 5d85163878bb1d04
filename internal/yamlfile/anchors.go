package yamlfile

import "github.com/goccy/go-yaml/ast"

// anchors collects the nodes of anchors by name. It is an ast.Visitor.
type anchors map[string]ast.Node

// Visit records n if it is an anchor.
func (a anchors) Visit(n ast.Node) ast.Visitor {
	if anchor, ok := n.(*ast.AnchorNode); ok && anchor.Name != nil {
		a[anchor.Name.GetToken().Value] = anchor.Value
	}
	return a
}
