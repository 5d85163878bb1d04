package jobentry

import (
	"context"

	"persimmonbay/internal/door"
	"persimmonbay/internal/intake"
	"persimmonbay/internal/poolmanager"
)

// ownerNotifier notifies pools' owners of the jobs and cancellations that this
// entry has accepted.
type ownerNotifier struct {
	manager *poolmanager.Manager
}

var _ intake.OwnerNotifier = ownerNotifier{}

// Owner returns the owner of a pool, as far as this entry knows.
func (n ownerNotifier) Owner(service string) intake.Owner {
	token, entry := n.manager.Owner(service)
	return intake.Owner{Token: token, Entry: entry}
}

// Accepted notifies owner of a job that was accepted under its ownership.
func (n ownerNotifier) Accepted(owner intake.Owner, service, id string, value []byte, revision int64) {
	n.manager.SendNotice(poolmanager.Notice{Service: service, Job: id, Value: value, Revision: revision, OwnerEntry: owner.Entry, OwnerToken: owner.Token})
}

// Cancelled notifies the pool's owner of a cancelled job.
func (n ownerNotifier) Cancelled(service, id string, revision int64) {
	_, entry := n.manager.Owner(service)
	n.manager.SendNotice(poolmanager.Notice{Service: service, Job: id, Revision: revision, Cancelled: true, OwnerEntry: entry})
}

// Pending asks the pool's owner how many jobs of a queue have not begun.
func (n ownerNotifier) Pending(ctx context.Context, service, queue string) (jobs int, known bool) {
	return n.manager.Pending(ctx, service, queue)
}

// Report returns the last report of the pool's owner on the work ahead.
func (n ownerNotifier) Report(service string) *door.Report { return n.manager.Report(service) }
