// Package replay runs a recorded trace in virtual time through the same code
// that entries run (admission, slots, routing), over a model of services, and
// holds what comes of it against the trace's stated outcomes.
package replay
