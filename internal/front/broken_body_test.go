package front

import "io"

// brokenBody yields left zero bytes and then fails.
type brokenBody struct{ left int }

// Read implements io.Reader.
func (b *brokenBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	clear(p[:n])
	b.left -= n
	return n, nil
}

// Close implements io.Closer.
func (b *brokenBody) Close() error { return nil }
