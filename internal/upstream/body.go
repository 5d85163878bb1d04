package upstream

import "bytes"

// body is a request body that the transport cannot rewind. Every request has
// one, also when it is empty: the transport sends a request without a body
// again on its own when a kept connection breaks.
type body struct{ reader *bytes.Reader }

func newBody(content []byte) body { return body{reader: bytes.NewReader(content)} }

// Read reads on.
func (b body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close does nothing.
func (b body) Close() error { return nil }
