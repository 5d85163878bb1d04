// Package peer carries calls between entries: one yamux session to each peer,
// one protobuf message each way for a call. Calls that come all the time share
// streams that are kept open, each other one has a stream of its own. A peer proves the shared
// key from the settings before a session is accepted.
package peer
