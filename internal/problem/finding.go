package problem

import "fmt"

// Finding is one fault in a document that a person wrote, such as a
// configuration.
type Finding struct {
	File     string `json:"file"`     // may be empty
	Line     int    `json:"line"`     // 1-based; 0 when unknown
	Path     string `json:"path"`     // the field, as in "services[0].pool"
	Expected string `json:"expected"` // the expected value, and often the value found
}

// String returns "file:line: path: expected".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Expected)
}
