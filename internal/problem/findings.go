package problem

import "strings"

// Findings is an error that lists the faults of one document.
type Findings []Finding

// Error returns the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil when there are no findings.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
