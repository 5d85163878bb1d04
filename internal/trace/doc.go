// Package trace parses recorded traces of load and the outcomes that a replay of
// them must meet. docs/design/admission.md documents the format.
package trace
