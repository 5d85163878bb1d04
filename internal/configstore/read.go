package configstore

import (
	"context"

	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// maxReads bounds the attempts of one read. The first may use a connection that
// has gone silent; the next uses a new connection.
const maxReads = 3

// read reads key and retries if the response is lost.
func (s *Store) read(ctx context.Context, key string) (kv api.KeyValue, err error) {
	for range maxReads {
		kv, err = s.store.Get(ctx, key)
		if ctx.Err() != nil || !problem.Is(err, problem.Interrupted) && !problem.Is(err, problem.Timeout) {
			return kv, err
		}
	}
	return kv, err
}
