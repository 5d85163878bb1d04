package api

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttlMillis"`
}
