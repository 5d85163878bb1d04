package jobentry

import (
	"persimmonbay/internal/intake"
	"persimmonbay/internal/poolmanager"
)

// ownerNotifier tells pools' owners of what this entry has accepted.
type ownerNotifier struct {
	manager *poolmanager.Manager
}

var _ intake.OwnerNotifier = ownerNotifier{}

// Owner returns the owner of a pool, as far as this entry knows.
func (a ownerNotifier) Owner(service string) intake.Owner {
	token, node := a.manager.Owner(service)
	return intake.Owner{Token: token, Entry: node}
}

// Accepted tells owner of a job accepted under it.
func (a ownerNotifier) Accepted(owner intake.Owner, service, id string, value []byte, revision int64) {
	a.manager.SendNotice(poolmanager.Notice{Service: service, Job: id, Value: value, Revision: revision, OwnerEntry: owner.Entry, OwnerToken: owner.Token})
}

// Cancelled tells of a cancelled job.
func (a ownerNotifier) Cancelled(service, id string, revision int64) {
	_, node := a.manager.Owner(service)
	a.manager.SendNotice(poolmanager.Notice{Service: service, Job: id, Revision: revision, Cancelled: true, OwnerEntry: node})
}
