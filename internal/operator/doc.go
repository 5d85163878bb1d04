// Package operator implements the HTTP API of an entry for operators, and its
// client.
package operator
