package message

import "persimmonbay/internal/fleet"

// TeamStatus is the configuration of one team.
type TeamStatus struct {
	Team     string      `json:"team"`
	TopClass fleet.Class `json:"topClass"`
	Weight   int         `json:"weight"`
}
