package inventory

import "persimmonbay/internal/fleet"

// List is the platform's list of instances as this entry last received it, from the
// platform or from a peer. Instances must not be changed.
type List struct {
	Stamp     Stamp
	Tag       string // entity tag under which the platform returned it; empty: none
	Instances []fleet.Instance
}
