package request

import "context"

// freshConnection is the context key that requires a fresh connection.
type freshConnection struct{}

// WithFreshConnection returns a context under which a Sender opens a new
// connection: a retry must not depend on an idle one that may be dead.
func WithFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshConnection{}, true)
}

// RequiresFreshConnection reports whether ctx derives from WithFreshConnection.
func RequiresFreshConnection(ctx context.Context) bool {
	return ctx.Value(freshConnection{}) != nil
}
