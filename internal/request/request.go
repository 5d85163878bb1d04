package request

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Request is one caller's request with its whole body.
type Request struct {
	ID       string // assigned by the entry, unique in the fleet
	Service  string
	Team     string
	Class    fleet.Class
	Key      Key // empty when the caller sent none
	Method   string
	Path     string // with the query, as sent to the upstream
	Fields   []Field
	Body     []byte
	Deadline time.Time // when zero, Serve sets it by the service's timeout
}
