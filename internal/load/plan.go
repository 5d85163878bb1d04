package load

import (
	"net/http"
	"time"
)

// Plan says what load to offer.
type Plan struct {
	Client  *http.Client
	Request func(i int) (*http.Request, error) // makes the i-th request
	Workers int                                // requests at work at most
	Rate    float64                            // requests a second; 0: as fast as the workers go
	Count   int                                // requests in all
	Timeout time.Duration                      // of one request; 0: none
}
