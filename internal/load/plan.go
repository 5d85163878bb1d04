package load

import (
	"net/http"
	"time"
)

// Plan describes a load.
type Plan struct {
	Client  *http.Client
	Request func(i int) (*http.Request, error) // returns the i-th request, from 0
	Senders int                                // most requests in progress at once
	Rate    float64                            // requests a second; 0: each starts when an earlier one has ended
	Count   int                                // total number of requests
	Timeout time.Duration                      // timeout of one request; 0: none
}
