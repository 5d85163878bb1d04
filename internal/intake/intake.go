package intake

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// Intake serves callers. It holds no state but what is in force; all else is
// in the store.
type Intake struct {
	store  store.Store
	config *poolconfig.InForce
	owners OwnerNotifier
	clock  clockwork.Clock
	log    *zap.Logger
}

// New returns an intake.
func New(s store.Store, config *poolconfig.InForce, owners OwnerNotifier, clock clockwork.Clock, log *zap.Logger) *Intake {
	return &Intake{store: s, config: config, owners: owners, clock: clock, log: log}
}

// retryEvery is how long a call to the store that failed at once waits for its
// next try: a few times the store's usual answer.
const retryEvery = 25 * time.Millisecond

// tryTime is the least time for a call to the store: what it might do after the
// caller's time, nobody could tell.
const tryTime = 100 * time.Millisecond

// Submit accepts the job, or returns why not. An error of kind Overloaded or
// Unavailable promises that the job was not accepted and never runs; one of
// kind Timeout tells that nobody knows yet. A job that was accepted before is
// accepted again and stays one job.
func (in *Intake) Submit(ctx context.Context, sub scheduler.Submission) error {
	owner := in.owners.Owner(sub.Service)
	txn, err := in.acceptance(&sub, owner)
	if err != nil {
		return err
	}
	uncertain := false
	for {
		revision, err := in.store.Commit(ctx, txn)
		if err == nil {
			in.owners.Accepted(owner, sub.Service, sub.ID, txn.Writes[0].Value, revision)
			return nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			if in.accepted(conflict, &txn) {
				return nil
			}
			known := owner
			owner = ownerOf(conflict.Find(poolstore.OwnerKey(sub.Service)))
			txn.Expected[0].Revision = owner.Token
			if owner != known && ctx.Err() == nil {
				continue
			}
		}
		uncertain = uncertain || store.OutcomeUnknown(err)
		if !in.pause(ctx) {
			return in.notAccepted(sub.ID, uncertain, err)
		}
	}
}

// accepted reports whether a conflict shows that the job was accepted before,
// under any service. The first condition is the pool's owner.
func (in *Intake) accepted(conflict *store.ConflictError, txn *store.Txn) bool {
	return slices.ContainsFunc(txn.Expected[1:], func(e store.Expectation) bool {
		_, kept := conflict.Find(e.Key)
		return kept
	})
}

// acceptance is the change that accepts a job: it must be saved under none of
// the services, as a queue may change its service between two copies of a call. It
// holds under the pool's owner only, so that no other is told of the job.
func (in *Intake) acceptance(sub *scheduler.Submission, owner Owner) (store.Txn, error) {
	job, err := poolstore.EncodeJob(sub)
	if err != nil {
		return store.Txn{}, err
	}
	state, err := poolstore.EncodeState(&poolstore.SavedState{Queue: sub.Queue})
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

// notAccepted says what is known of a job that could not be saved in time.
func (in *Intake) notAccepted(id string, uncertain bool, cause error) error {
	in.log.Warn("job not accepted", append(telemetry.ProblemFields(cause), zap.String("job", id), zap.Bool("uncertain", uncertain))...)
	if uncertain {
		return problem.Wrap(problem.Timeout, problem.StepClaim, id, cause)
	}
	return problem.Wrap(problem.Unavailable, problem.StepClaim, id, cause)
}

// servicesFrom returns all services in force, first the one given.
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

// pause waits before the next try; false when the caller's time is over, or
// leaves no time for an answer.
func (in *Intake) pause(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < retryEvery+tryTime {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-in.clock.After(retryEvery):
		return true
	}
}
