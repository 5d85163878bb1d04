package controller_test

import (
	"persimmonbay/internal/maintenance"
)

// simPlan is a plan whose controller was paused before carrying it out.
type simPlan struct {
	changes maintenance.Changes
}
