// Package upstream manages the connections to upstream instances and sends
// requests over them, each at most once.
package upstream
