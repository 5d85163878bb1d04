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

// Owner returns the owner of a pool, as far as this entry knows.
func (a announcer) Owner(service string) intake.Owner {
	token, node := a.keeper.Owner(service)
	return intake.Owner{Token: token, Node: node}
}

// Accepted tells owner of a job accepted under it.
func (a announcer) Accepted(owner intake.Owner, service, id string, value []byte, revision int64) {
	a.keeper.Announce(keeper.Notice{Service: service, Job: id, Value: value, Revision: revision, To: owner.Node, Owner: owner.Token})
}

// Cancelled tells of a cancelled job.
func (a announcer) Cancelled(service, id string, revision int64) {
	_, node := a.keeper.Owner(service)
	a.keeper.Announce(keeper.Notice{Service: service, Job: id, Revision: revision, Cancelled: true, To: node})
}
