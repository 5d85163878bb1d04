package intake

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/door"
	"persimmonbay/internal/identity"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// Intake serves callers. Its only state in memory is the configuration in force;
// everything else is in the store.
type Intake struct {
	store  store.Store
	config *poolconfig.InForce
	owners OwnerNotifier
	clock  clockwork.Clock
	log    *zap.Logger
	caller identity.Caller
	tally  *door.Tally
	lines  *refusalLines
}

// New returns an intake for callers who may see all jobs.
func New(s store.Store, config *poolconfig.InForce, owners OwnerNotifier, clock clockwork.Clock, log *zap.Logger) *Intake {
	return &Intake{store: s, config: config, owners: owners, clock: clock, log: log, tally: door.NewTally(), lines: &refusalLines{}, caller: identity.Caller{Any: true}}
}

// For returns an intake for one caller. The jobs that it accepts belong to the caller's
// team, and those that the caller may not see do not exist for it.
func (in *Intake) For(caller identity.Caller) *Intake {
	scoped := *in
	scoped.caller = caller
	return &scoped
}

// retryInterval is the pause between two tries of a call to the store: a few
// times the store's usual response time.
const retryInterval = 25 * time.Millisecond

// minCallTime is the time that must remain before the caller's deadline for
// another try. The outcome of a call that the deadline interrupts is unknown.
const minCallTime = 100 * time.Millisecond

// Submit accepts the job and returns once it is stored. An error of kind
// Overloaded or Unavailable guarantees that the job was not accepted and never
// runs; after one of kind Timeout the outcome is unknown. Submitting a job that
// was accepted before succeeds and does not add a second job.
func (in *Intake) Submit(ctx context.Context, sub scheduler.Submission) error {
	sub.Team = in.caller.Team
	if v := in.verdict(&sub); v.Refused() {
		if err, decided := in.refuse(ctx, &sub, &v); decided {
			return err
		}
	}
	owner := in.owners.Owner(sub.Service)
	txn, err := in.acceptanceTxn(&sub, owner)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	var t tries
	for {
		var revision int64
		err := t.do(ctx, func(ctx context.Context) (err error) {
			revision, err = in.store.Commit(ctx, txn)
			return err
		})
		if err == nil {
			in.owners.Accepted(owner, sub.Service, sub.ID, txn.Writes[0].Value, revision)
			return nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			if state, stored := storedState(conflict, txn.Expected[1:]); stored && state.Barred {
				return errCancelledBefore(sub.ID)
			} else if stored {
				return nil
			}
			refused := expectRefused(conflict, txn.Expected[1:])
			previous := owner
			owner = ownerOf(conflict.Find(poolstore.OwnerKey(sub.Service)))
			txn.Expected[0].Revision = owner.Token
			if (refused || owner != previous) && ctx.Err() == nil {
				continue
			}
		}
		outcomeUnknown = outcomeUnknown || store.OutcomeUnknown(err)
		if !in.waitForRetry(ctx) {
			return in.notAcceptedError(sub.ID, outcomeUnknown, err)
		}
	}
}

// acceptanceTxn returns the transaction that accepts a job. It requires that
// the job is stored under none of the services, as its queue may move to
// another service between two copies of a call. It also requires that owner
// still owns the pool, so that the notification of the job goes to the right
// entry.
func (in *Intake) acceptanceTxn(sub *scheduler.Submission, owner Owner) (store.Txn, error) {
	job, err := poolstore.EncodeJob(sub)
	if err != nil {
		return store.Txn{}, err
	}
	state, err := poolstore.EncodeState(&poolstore.JobProgress{Queue: sub.Queue, Team: sub.Team})
	if err != nil {
		return store.Txn{}, err
	}
	txn := store.Txn{Writes: []store.Write{
		{Key: poolstore.JobKey(sub.Service, sub.ID), Value: job},
		{Key: poolstore.StateKey(sub.Service, sub.ID), Value: state},
	}}
	txn.Expected = append(txn.Expected, store.Expectation{Key: poolstore.OwnerKey(sub.Service), Revision: owner.Token})
	for _, service := range in.servicesFrom(sub.Service) {
		if txn.Entries() == store.MaxTxnEntries {
			break
		}
		txn.Expected = append(txn.Expected, store.Expectation{Key: poolstore.StateKey(service, sub.ID)})
	}
	return txn, nil
}

// notAcceptedError logs and returns the error for a job that was not stored in
// time. Its kind is Timeout when the outcome of a try is unknown, and
// Unavailable otherwise.
func (in *Intake) notAcceptedError(id string, outcomeUnknown bool, cause error) error {
	in.log.Warn("job not accepted", append(telemetry.ProblemFields(cause), zap.String("job", id), zap.Bool("uncertain", outcomeUnknown))...)
	if outcomeUnknown {
		return problem.Wrap(problem.Timeout, problem.StepClaim, id, cause)
	}
	return problem.Wrap(problem.Unavailable, problem.StepClaim, id, cause)
}

// servicesFrom returns first and then the other services of the configuration in
// force.
func (in *Intake) servicesFrom(first string) []string {
	services := []string{first}
	if c := in.config.Get(); c != nil {
		for _, s := range c.Services() {
			if s != first {
				services = append(services, s)
			}
		}
	}
	return services
}

// waitForRetry waits before the next try. It returns false when ctx has ended,
// or too little time is left before its deadline for another call.
func (in *Intake) waitForRetry(ctx context.Context) bool {
	if ctx.Err() != nil || !isLeft(ctx, retryInterval+minCallTime) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-in.clock.After(retryInterval):
		return isLeft(ctx, minCallTime) // the timer of a busy machine may fire late
	}
}

// isLeft reports whether so much time is left before the deadline of ctx.
func isLeft(ctx context.Context, d time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) >= d
}
