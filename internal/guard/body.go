package guard

import (
	"errors"
	"io"
)

// body is a request's body that reports its bytes to the account of its connection.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader. The end of the body is passed on only while the connection has not
// been given up.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		now := b.conn.guard.clock.Now()
		b.conn.account.BodyRead(now, n)
		b.conn.guard.budget.Relieve(now)
	}
	if errors.Is(err, io.EOF) && !b.conn.serve() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
