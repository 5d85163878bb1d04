package jobentry

import (
	"bytes"
	"context"
)

// secretFollower runs a service with the secret that the entries share. When the
// secret is replaced, as after its withdrawal, the service ends and runs anew with the
// next one.
type secretFollower struct {
	source secretSource
	serve  func(ctx context.Context, secret []byte) error // returns once ctx ends, or with an error
}

// run returns when ctx ends, or with the error of the service.
func (f *secretFollower) run(ctx context.Context) error {
	var secret []byte
	for {
		if secret = f.await(ctx, secret); secret == nil {
			return nil
		}
		if err := f.serveUntilReplaced(ctx, secret); err != nil {
			return err
		}
	}
}

// await waits for a secret other than used. It returns nil when ctx ends first.
func (f *secretFollower) await(ctx context.Context, used []byte) []byte {
	for {
		secret, changed := f.source.Secret()
		if secret != nil && !bytes.Equal(secret, used) {
			return secret
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (f *secretFollower) serveUntilReplaced(ctx context.Context, secret []byte) error {
	serving, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		f.await(serving, secret)
		cancel()
	}()
	return f.serve(serving, secret)
}
