package request

// Field is one header field of a request or answer.
type Field struct {
	Name  string // in canonical form
	Value string
}
