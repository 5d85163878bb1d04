package inventory

import "persimmonbay/internal/fleet"

// List is the platform's list of instances as this entry knows it. Instances
// must not be changed.
type List struct {
	Stamp     Stamp
	Tag       string // entity tag under which the platform showed it; empty: none
	Instances []fleet.Instance
}
