package keycheck

import "context"

// Reader reads the configuration from the store.
type Reader interface {
	// ReadConfiguration puts the stored configuration into force and confirms it, by a
	// read that is sent after the call and that other calls may share.
	ReadConfiguration(ctx context.Context) error
}
