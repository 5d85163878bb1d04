package upstream

import "bytes"

// body is a request body that http.Transport cannot rewind. Every request gets
// one, even when it is empty: the transport repeats a request without a body by
// itself when a reused connection breaks.
type body struct{ reader *bytes.Reader }

func newBody(content []byte) body { return body{reader: bytes.NewReader(content)} }

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer; it does nothing.
func (b body) Close() error { return nil }
