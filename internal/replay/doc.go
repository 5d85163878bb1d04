// Package replay runs a recorded trace in virtual time through the same code
// that entries run (admission, slots, routing), against a model of the services, and
// compares the results with the outcomes stated for the trace.
package replay
