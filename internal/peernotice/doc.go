// Package peernotice carries notices of accepted and cancelled jobs, and questions
// about pending ones, between entries, over the sessions of package peer.
package peernotice
