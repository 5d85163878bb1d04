package yamlfile

import (
	"errors"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"persimmonbay/internal/problem"
)

// Document is one YAML document with the positions of its fields.
type Document struct {
	name string
	file *ast.File
}

// Decode reads data, the content of the file called name, into target. Unknown
// keys, duplicate keys and values of the wrong type are findings. Values that
// target holds already are kept as defaults for absent keys.
func Decode(name string, data []byte, target any) (*Document, error) {
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

// Locate fills in the file and line of each finding from its path.
func (d *Document) Locate(findings problem.Findings) problem.Findings {
	for i := range findings {
		findings[i].File = d.name
		findings[i].Line = d.line(findings[i].Path)
	}
	return findings
}

// line returns the line of the field at path, or of its nearest parent that
// is present, or 1.
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

// decodeNode decodes what was parsed already, which costs half of decoding the
// text. An empty document leaves target as it is.
func decodeNode(file *ast.File, target any) error {
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil
	}
	return yaml.NodeToValue(file.Docs[0].Body, target, yaml.Strict())
}

// checkScalars refuses a second document, which would be ignored, and scalars
// of the wrong type.
func checkScalars(name string, file *ast.File, target any) error {
	if len(file.Docs) > 1 {
		return problem.Findings{{File: name, Line: secondLine(file), Path: "document", Expected: "expected one document, found another after ---"}}
	}
	check := &scalarCheck{name: name}
	for _, d := range file.Docs {
		check.value("", d.Body, reflect.TypeOf(target).Elem())
	}
	return check.findings.Err()
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
