// Package front is the HTTP interface for callers. It only converts HTTP requests
// to requests and results to HTTP responses; package request makes the decisions.
package front
