// Package upstream is a small stand-in for one runner of a service, for tests
// and for the dev command. It counts executions by Idempotency-Key and has
// switches for the faults of a real one.
package upstream
