package request

import (
	"io"
	"sync"
)

// releasingBody is a body that calls release on the first Close.
type releasingBody struct {
	io.ReadCloser
	once    sync.Once // limits release to one call
	release func()
}

// Close closes the body and calls release on the first call.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
