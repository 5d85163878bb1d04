package jobentry

import (
	"persimmonbay/internal/intake"
	"persimmonbay/internal/keeper"
)

// announcer tells pools' owners of what this entry has accepted.
type announcer struct {
	keeper *keeper.Keeper
}

var _ intake.Announcer = announcer{}

// Accepted tells of an accepted job.
func (a announcer) Accepted(service, id string, value []byte, revision int64) {
	a.keeper.Announce(keeper.Notice{Service: service, Job: id, Value: value, Revision: revision})
}

// Cancelled tells of a cancelled job.
func (a announcer) Cancelled(service, id string, revision int64) {
	a.keeper.Announce(keeper.Notice{Service: service, Job: id, Revision: revision, Cancelled: true})
}
