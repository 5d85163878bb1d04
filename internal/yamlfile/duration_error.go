package yamlfile

import (
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// durationError is a scalar that should have been a duration.
type durationError struct{ scalar string }

// Error says what was expected.
func (e *durationError) Error() string {
	return "expected a duration, as in 250ms, 5s or 1h30m, found " + e.scalar
}

// durations decodes durations with errors of its own, which can be located.
func durations() yaml.DecodeOption {
	return yaml.CustomUnmarshaler(func(d *time.Duration, raw []byte) error {
		scalar := strings.TrimSpace(string(raw))
		parsed, err := time.ParseDuration(strings.Trim(scalar, `"'`))
		if err != nil {
			return &durationError{scalar: scalar}
		}
		*d = parsed
		return nil
	})
}

// scalarLine returns the line of the first scalar with this text, or 1.
func scalarLine(file *ast.File, scalar string) int {
	finder := &scalarFinder{scalar: scalar, line: 1}
	for _, d := range file.Docs {
		ast.Walk(finder, d.Body)
	}
	return finder.line
}
