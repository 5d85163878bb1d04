// Package routing decides which instance of a service a request goes to. It does
// no encoding and no I/O.
package routing
