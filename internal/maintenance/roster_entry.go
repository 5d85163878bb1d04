package maintenance

import "time"

// RosterEntry is one entry of an EntryRoster.
type RosterEntry struct {
	Entry string    `json:"entry"`
	Since time.Time `json:"since"`         // when it was first seen registered
	Lost  time.Time `json:"lost,omitzero"` // when it was first seen unregistered without having announced its shutdown; zero: it is registered
}
