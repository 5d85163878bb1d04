// Package peernotice carries notices of accepted and cancelled jobs between
// entries, over the sessions of package peer.
package peernotice
