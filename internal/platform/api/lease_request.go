package api

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttlMillis"`
}
