package message

import "persimmonbay/internal/maintenance"

// PoolStatus is one pool, its services and how it stands against its budget.
type PoolStatus struct {
	maintenance.Tally
	Services []string `json:"services"`
}
