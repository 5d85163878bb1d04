// Package poolconfig holds the configuration that operators write for queues
// and pools, and finds the queue of a request.
package poolconfig
