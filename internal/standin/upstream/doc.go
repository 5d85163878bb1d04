// Package upstream is a small stand-in for an upstream instance of a service, for
// tests and for the dev command. It counts executions by Idempotency-Key and can
// inject the faults of a real one.
package upstream
