// Package peerwork carries notices of jobs between entries, over the sessions of
// package peer.
package peerwork
