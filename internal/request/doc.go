// Package request decides what becomes of one caller's request: whether it may
// run, how often it is tried and what the caller is told. It works on plain
// values and narrow interfaces and knows no encoding and no transport, so that
// any front end can use it.
package request
