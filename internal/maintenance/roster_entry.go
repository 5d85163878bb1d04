package maintenance

import "time"

// RosterEntry is one entry of a Roster.
type RosterEntry struct {
	Entry string    `json:"entry"`
	Since time.Time `json:"since"`         // when it was first seen registered
	Lost  time.Time `json:"lost,omitzero"` // when it was first missed without having said that it leaves; zero: registered
}
