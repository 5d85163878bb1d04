package request

import "context"

// freshConnection is the context key of the demand for a fresh connection.
type freshConnection struct{}

// DemandFreshConnection returns a context under which a Sender uses no kept
// connection: a retry must not depend on what may have gone silent.
func DemandFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshConnection{}, true)
}

// FreshConnectionDemanded reports whether ctx comes from
// DemandFreshConnection.
func FreshConnectionDemanded(ctx context.Context) bool {
	return ctx.Value(freshConnection{}) != nil
}
