// Package api holds the JSON messages of the platform's HTTP service, shared
// by the client and the stand-in.
package api
