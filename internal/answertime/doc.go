// Package answertime decides how long a caller waits for the answer of a peer, from the
// answer times measured so far. It holds plain values: times are passed in, and nothing
// here waits, reads a clock or knows a transport.
//
// A peer's timeout follows the smoothed mean and deviation of its answer times, as in RFC
// 6298, and never falls below what the calling process itself needs to read an answer. A
// call that was repeated gives no sample. Silence makes timeouts longer, and so does an
// order that turns out to have been carried out although its answer was not received in
// time. Before the first sample the longest timeout applies.
//
// A timeout says how long a caller waits before it asks again. It says nothing about when
// a call can no longer be carried out, nor that the peer is gone.
package answertime
