package routing

import "persimmonbay/internal/fleet"

// listed are the instances of one service.
type listed struct {
	live []fleet.Instance // by the platform's list
	open []fleet.Instance // of those, the ones that did not say they are leaving
}
