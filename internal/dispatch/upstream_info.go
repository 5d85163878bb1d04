package dispatch

import "time"

// upstreamInfo is the configuration that applies to one upstream.
type upstreamInfo struct {
	service string
	slots   int           // capacity of the upstream
	timeout time.Duration // of the service's requests
}
