// Package intake accepts jobs from callers, returns their states and cancels
// them. Every change is committed to the store before it is confirmed, so that
// any entry can serve any call. The package is independent of the encoding of
// calls, which each front end translates itself.
package intake
