// Package trace reads recorded traces and the outcomes stated for them. The
// format is documented in docs/design/admission.md.
package trace
