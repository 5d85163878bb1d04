package request

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Request is one caller's request, whole.
type Request struct {
	ID       string // made by the entry, unique in the fleet
	Service  string
	Team     string
	Class    fleet.Class
	Key      Key // empty when the caller sent none
	Method   string
	Path     string // with the query, as the upstream sees it
	Fields   []Field
	Body     []byte
	Deadline time.Time // zero: the service's timeout applies
}
