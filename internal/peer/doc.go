// Package peer carries calls between the entries of a cluster (the processes
// that accept requests). An entry has one yamux session to each other entry; a
// call is one protobuf message in each direction over a stream. Frequent calls
// reuse idle streams, each other call opens its own stream. Both sides prove
// that they have the shared key of the settings before a session is opened.
package peer
