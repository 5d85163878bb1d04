package message

import "persimmonbay/internal/maintenance"

// PoolStatus is the state of one pool: its services, and its instances against
// its availability budget.
type PoolStatus struct {
	maintenance.PoolCount
	Services []string `json:"services"`
}
