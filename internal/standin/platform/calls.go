package platform

import (
	"net/http"
	"strings"
)

// Calls counts the HTTP calls that the stand-in received, refused ones included.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Refused uint64 `json:"refused"` // above the allowed rate; also counted by kind
}

// with returns c with r counted.
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
