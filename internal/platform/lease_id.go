package platform

// LeaseID names a lease; empty means none.
type LeaseID string
