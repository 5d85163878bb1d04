// Package api defines the JSON messages of the platform's HTTP service, which the
// client and the stand-in for that service share.
package api
