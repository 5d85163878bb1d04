// Package request serves one caller's request: it decides whether the request may
// run, how often it is attempted and which result the caller gets. It uses plain
// values and narrow interfaces and depends on no encoding and no transport, so
// that any front end can use it.
package request
