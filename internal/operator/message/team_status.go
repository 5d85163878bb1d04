package message

import "persimmonbay/internal/fleet"

// TeamStatus is one team as configured.
type TeamStatus struct {
	Team     string      `json:"team"`
	TopClass fleet.Class `json:"topClass"`
	Weight   int         `json:"weight"`
}
