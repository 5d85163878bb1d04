package intake

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/work"
	"persimmonbay/internal/workconfig"
	"persimmonbay/internal/workstore"
)

// Intake serves callers. It holds no state but what is in force; all else is
// in the store.
type Intake struct {
	store  store.Store
	config *workconfig.InForce
	owners Announcer
	clock  clockwork.Clock
	log    *zap.Logger
}

// New returns an intake.
func New(s store.Store, config *workconfig.InForce, owners Announcer, clock clockwork.Clock, log *zap.Logger) *Intake {
	return &Intake{store: s, config: config, owners: owners, clock: clock, log: log}
}

// retryEvery is how long a call to the store that failed at once waits for its
// next try: a few times the store's usual answer.
const retryEvery = 25 * time.Millisecond

// Submit accepts the job, or returns why not. An error of kind Overloaded or
// Unavailable promises that the job was not accepted and never runs; one of
// kind Timeout tells that nobody knows yet. A job that was accepted before is
// accepted again and stays one job.
func (in *Intake) Submit(ctx context.Context, sub work.Submission) error {
	txn, err := in.acceptance(&sub)
	if err != nil {
		return err
	}
	uncertain := false
	for {
		revision, err := in.store.Commit(ctx, txn)
		if err == nil {
			in.owners.Accepted(sub.Service, sub.ID, txn.Writes[0].Value, revision)
			return nil
		}
		if problem.Is(err, problem.Conflict) {
			return nil // it was accepted before
		}
		uncertain = uncertain || store.Uncertain(err)
		if !in.pause(ctx) {
			return in.notAccepted(sub.ID, uncertain, err)
		}
	}
}

// acceptance is the change that accepts a job: it must be kept under none of
// the services, as a queue may change its service between two copies of a call.
func (in *Intake) acceptance(sub *work.Submission) (store.Txn, error) {
	job, err := workstore.EncodeJob(sub)
	if err != nil {
		return store.Txn{}, err
	}
	state, err := workstore.EncodeState(&workstore.KeptState{Queue: sub.Queue})
	if err != nil {
		return store.Txn{}, err
	}
	txn := store.Txn{Writes: []store.Write{
		{Key: workstore.JobKey(sub.Service, sub.ID), Value: job},
		{Key: workstore.StateKey(sub.Service, sub.ID), Value: state},
	}}
	for _, service := range in.servicesFrom(sub.Service) {
		if txn.Entries() == store.MaxTxnEntries {
			break
		}
		txn.Expected = append(txn.Expected, store.Expectation{Key: workstore.StateKey(service, sub.ID)})
	}
	return txn, nil
}

// notAccepted says what is known of a job that could not be kept in time.
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

// pause waits before the next try; false when the caller's time is over.
func (in *Intake) pause(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-in.clock.After(retryEvery):
		return true
	}
}
