// Package dispatch decides when each request starts and on which instance, from
// the admission order, the slots that this entry holds and the health of the
// upstreams. Placer makes the decisions at a time that its caller passes in, so
// that a replay runs the same code; Dispatcher implements request.Dispatcher
// with a Placer and a clock.
package dispatch
