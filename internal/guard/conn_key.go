package guard

// connKey is the key of a request's connection in its context.
type connKey struct{}
