// Package jobentry assembles one entry that serves jobs on the users' platform:
// the HTTP interface for callers, the manager of the pools that the entry owns,
// and the clients of the platform.
package jobentry
