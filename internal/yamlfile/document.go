package yamlfile

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"persimmonbay/internal/problem"
)

// Document is a parsed YAML document. It maps the paths of fields to lines.
type Document struct {
	name string
	file *ast.File
}

// Decode decodes data, the content of the file called name, into target, a
// pointer to a struct. Fields of target whose keys are absent keep their values,
// so a caller sets defaults there first. An error is of type problem.Findings: syntax
// errors, unknown and duplicate keys, values of the wrong type, and values that
// violate a "validate" tag. A panic of the library is such an error too.
func Decode(name string, data []byte, target any) (_ *Document, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = problem.Findings{{File: name, Line: 1, Path: "document", Expected: fmt.Sprintf("expected a document that the YAML library can read, it failed with: %v", cause)}}
		}
	}()
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, problem.Findings{syntaxFinding(name, err)}
	}
	if err := checkScalars(name, file, target); err != nil {
		return nil, err
	}
	if err := decodeNode(file, target); err != nil {
		return nil, problem.Findings{syntaxFinding(name, err)}
	}
	d := &Document{name: name, file: file}
	return d, d.Locate(validate(target)).Err()
}

// Locate sets the file and line of each finding, by its path, and returns
// findings.
func (d *Document) Locate(findings problem.Findings) problem.Findings {
	for i := range findings {
		findings[i].File = d.name
		findings[i].Line = d.line(findings[i].Path)
	}
	return findings
}

// line returns the line of the field at path. When the field is absent, it
// returns the line of its closest ancestor in the document, or 1.
func (d *Document) line(path string) int {
	for path != "" {
		if n := d.node(path); n != nil {
			return n.GetToken().Position.Line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func (d *Document) node(path string) ast.Node {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	n, err := p.FilterFile(d.file)
	if err != nil || n == nil || n.GetToken() == nil {
		return nil
	}
	return n
}

// decodeNode decodes the parsed file into target, which takes half the time of
// decoding its text. An empty document leaves target unchanged.
func decodeNode(file *ast.File, target any) error {
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil
	}
	return yaml.NodeToValue(file.Docs[0].Body, target, yaml.Strict())
}

// checkScalars returns findings for a second document, which the decoder would
// ignore, and for scalars of the wrong type.
func checkScalars(name string, file *ast.File, target any) error {
	if len(file.Docs) > 1 {
		return problem.Findings{{File: name, Line: secondLine(file), Path: "document", Expected: "expected one document, found another after ---"}}
	}
	check := &scalarCheck{name: name, anchors: anchorsOf(file)}
	for _, d := range file.Docs {
		check.value("", d.Body, reflect.TypeOf(target).Elem())
	}
	return check.findings.Err()
}

// anchorsOf returns the nodes of the anchors of a document, by name.
func anchorsOf(file *ast.File) map[string]ast.Node {
	found := anchors{}
	for _, d := range file.Docs {
		if d.Body != nil {
			ast.Walk(found, d.Body)
		}
	}
	return found
}

func secondLine(file *ast.File) int {
	if start := file.Docs[1].Start; start != nil {
		return start.Position.Line
	}
	return 1
}

func syntaxFinding(name string, err error) problem.Finding {
	finding := problem.Finding{File: name, Line: 1, Path: "document", Expected: err.Error()}
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		finding.Expected = positioned.GetMessage()
		if token := positioned.GetToken(); token != nil {
			finding.Line = token.Position.Line
			finding.Path = token.Value
		}
	}
	return finding
}
