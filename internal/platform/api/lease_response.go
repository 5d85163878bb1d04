package api

// LeaseResponse has the ID of a granted lease.
type LeaseResponse struct {
	ID string `json:"id"`
}
