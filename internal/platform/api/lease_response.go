package api

// LeaseResponse names a granted lease.
type LeaseResponse struct {
	ID string `json:"id"`
}
