// Package jobentry puts together one entry that serves jobs on the users'
// platform: the callers' face, the pools it owns, and the clients of the
// platform.
package jobentry
