package routing

import "persimmonbay/internal/fleet"

// serviceInstances is the instances of one service.
type serviceInstances struct {
	live     []fleet.Instance // live in the platform's list
	eligible []fleet.Instance // the live ones that did not report that they are leaving
}
