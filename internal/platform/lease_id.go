package platform

// LeaseID is the ID of a lease; empty means none.
type LeaseID string
