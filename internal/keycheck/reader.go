package keycheck

import "context"

// Reader reads the configuration from the store.
type Reader interface {
	// ReadConfiguration puts the stored configuration into force and confirms it. It may
	// share a read that is in progress, or return the error of one that failed just now.
	ReadConfiguration(ctx context.Context) error
}
