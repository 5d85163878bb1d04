// Package relay is a small TCP relay for tests: it stands between two ends and
// can be cut, or lose track of the connections that are open.
package relay
