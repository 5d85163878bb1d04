package request

import (
	"io"
	"sync"
)

// releasedBody runs release once, when it is closed.
type releasedBody struct {
	io.ReadCloser
	once    sync.Once // guards release
	release func()
}

// Close closes the body.
func (b *releasedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
