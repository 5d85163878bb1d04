// Package places decides whether a task that could start away from its data, or away from
// the rack of its step, waits for a place there instead. It holds plain values: times are
// passed in, nothing here reads a clock or knows workers.
//
// A wait is begun only for an expected gain, and costs at most that gain: a task that waits
// in vain ends no later than one that runs away from its rack takes in addition.
package places
