// Package peer carries calls between entries: one yamux session to each peer,
// one stream a call, one protobuf message each way. A peer proves the shared
// key from the settings before a session is accepted.
package peer
