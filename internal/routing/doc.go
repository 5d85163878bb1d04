// Package routing decides which instance of a service a request goes to. It
// knows no encoding and no transport.
package routing
