package request

import "io"

// Answer is what an upstream answered. Body is whole when Rest is nil;
// otherwise it is the beginning of a body of Length bytes, -1 if unknown, and
// Rest holds the remainder. The receiver closes Rest.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
	Rest   io.ReadCloser
	Length int64
}
