// Package upstream holds the connections to upstream instances and sends
// requests over them, each once.
package upstream
