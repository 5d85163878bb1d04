package platform

import (
	"net/http"
	"strings"
)

// Calls counts the calls that the stand-in was sent, as the platform counts.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Refused uint64 `json:"refused"` // for the rate; among the others too
}

// with returns c with one call more.
func (c Calls) with(r *http.Request, allowed bool) Calls {
	switch {
	case r.Method != http.MethodGet:
		c.Writes++
	case strings.HasSuffix(r.URL.Path, "/watch"):
		c.Watches++
	default:
		c.Reads++
	}
	if !allowed {
		c.Refused++
	}
	return c
}
