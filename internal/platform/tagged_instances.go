package platform

import "persimmonbay/internal/fleet"

// taggedInstances is a list of instances with the entity tag under which the
// platform showed it. An empty tag means that the platform gave none.
type taggedInstances struct {
	tag       string
	instances []fleet.Instance
}
