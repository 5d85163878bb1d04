package upstream

import "bytes"

// body is a request body that the transport cannot rewind, so that it never
// sends a request twice on its own.
type body struct{ reader *bytes.Reader }

func newBody(content []byte) body { return body{reader: bytes.NewReader(content)} }

// Read reads on.
func (b body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close does nothing.
func (b body) Close() error { return nil }
