package request

import "io"

// Answer is an upstream's answer to a request. Body is the whole body when Remainder
// is nil. Otherwise Body is the beginning of a body of Length bytes, -1 when the
// length is unknown, and Remainder reads the remainder; the receiver closes
// Remainder.
type Answer struct {
	Status    int
	Fields    []Field
	Body      []byte
	Remainder io.ReadCloser
	Length    int64
}
