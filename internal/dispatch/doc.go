// Package dispatch decides when and where each request goes: it implements
// request.Dispatcher from the order of admission, the slots this entry holds
// and the health of upstreams. Placer does so in a time that is passed in, so
// that a replay runs the same code; Dispatcher runs it by a clock.
package dispatch
