package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// load reads the pool's jobs, and tries again until it succeeds; ok is false if the
// ownership ends before. It returns the revision after which to watch the jobs, and
// the machines that an earlier owner has offered. The workers are polled as soon as the
// roster is stored, so that the leases of their runs last until the jobs are there.
func (o *poolOwnership) load() (from int64, offered map[string]int64, ok bool) {
	if !o.repeat(o.preparePool) {
		return 0, nil, false
	}
	o.spawn(o.watchRequests)
	o.spawn(o.watchWorkers)
	o.spawn(o.watchWorkersOfPool)
	ok = o.repeat(func(ctx context.Context) (err error) {
		from, offered, err = o.tryLoad(ctx)
		return err
	})
	return from, offered, ok
}

// repeat calls a step of the load until it succeeds; false if the ownership ends, or has
// to be handed over, before.
func (o *poolOwnership) repeat(step func(ctx context.Context) error) bool {
	ctx, cancel := context.WithCancel(o.ctx)
	defer cancel()
	o.spawn(func() {
		select {
		case <-o.leaving:
			cancel()
		case <-ctx.Done():
		}
	})
	var pause retryPause
	for ctx.Err() == nil {
		before := o.loading.read()
		err := step(ctx)
		if err == nil {
			return true
		}
		if o.loading.read() > before {
			pause.reset() // the store serves some reads
		}
		o.log.Info("pool not loaded from the store, trying again", append(telemetry.ProblemFields(err), zap.Int("read", o.loading.read()))...)
		sleep(ctx, o.Clock, pause.next())
	}
	return false
}

// tryLoad goes on with the load of the pool, until a step of it fails.
func (o *poolOwnership) tryLoad(ctx context.Context) (int64, map[string]int64, error) {
	p := &o.loading
	if err := o.preparePool(ctx); err != nil {
		return 0, nil, err
	}
	if err := o.readOffers(ctx); err != nil {
		return 0, nil, err
	}
	if err := o.readWork(ctx); err != nil {
		return 0, nil, err
	}
	// Read last and anew with each try: a state may have been read long before its job
	// was cancelled.
	cancels := rangeRead{prefix: poolstore.CancelsPrefix(o.service)}
	if err := cancels.finish(ctx, o.Store); err != nil {
		return 0, nil, err
	}
	o.addJobs(p.jobs.items, o.statesByJob(p.states.items), o.Clock.Now())
	o.cancelJobs(cancels.items)
	o.pool.EndLoad()
	from, offered := p.jobs.revision, p.offered
	o.loading = poolLoad{} // the items are not needed any more
	return from, offered, nil
}

// preparePool creates the pool from the roster of the last owner, and writes the roster
// of this one. No worker is polled before that: the next owner learns from the roster that
// this one may extend leases.
func (o *poolOwnership) preparePool(ctx context.Context) error {
	if o.pool == nil {
		roster, err := o.readRoster(ctx)
		if err != nil {
			return err
		}
		// If the last owner was an earlier incarnation of this entry, which is over, and
		// the roster is its own, the pool counts as released. A roster of another owner
		// says nothing of that incarnation.
		roster.Released = roster.Released || o.previousToken != 0 && roster.Token == o.previousToken
		o.pool = scheduler.NewPool(o.service, o.token, o.timing.Scheduler, roster, o.Clock.Now())
		o.pool.SetTeams(teamShares(o.config.Get()))
		o.pool.BeginLoad()
	}
	if o.loading.rosterWritten {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, o.timing.StoreTimeout)
	defer cancel()
	if err := o.writeRoster(limited); err != nil {
		return err
	}
	o.loading.rosterWritten = true
	return nil
}

// readOffers reads which machines an earlier owner has offered.
func (o *poolOwnership) readOffers(ctx context.Context) error {
	p := &o.loading
	if p.offered != nil {
		return nil
	}
	if p.offers == nil {
		p.offers = &rangeRead{prefix: poolstore.OfferPrefix}
	}
	if err := p.offers.finish(ctx, o.Store); err != nil {
		return err
	}
	p.offered = o.applyOffers(p.offers.items)
	return nil
}

// readRoster returns the roster of the last owner.
func (o *poolOwnership) readRoster(ctx context.Context) (scheduler.WorkerRoster, error) {
	limited, cancel := context.WithTimeout(ctx, o.timing.StoreTimeout)
	defer cancel()
	key := poolstore.RosterKey(o.service)
	item, err := o.Store.Get(limited, key)
	if problem.Is(err, problem.NotFound) {
		o.own.record(key, 0)
		return scheduler.WorkerRoster{}, nil
	}
	if err != nil {
		return scheduler.WorkerRoster{}, err
	}
	o.own.record(key, item.Revision)
	roster, err := poolstore.DecodeRoster(key, item.Value)
	if err != nil {
		o.invalid.logOnce(o.log, "roster of the last owner not understood, any worker may still run its tasks", &item, err)
		return unknownRoster(o.token), nil
	}
	return roster, nil
}

// statesByJob returns the items that are states, by job.
func (o *poolOwnership) statesByJob(items []store.Item) map[string]store.Item {
	states := make(map[string]store.Item, len(items))
	for _, item := range items {
		if id, ok := poolstore.ParseState(o.service, item.Key); ok {
			states[id] = item
		}
	}
	return states
}

func (o *poolOwnership) addJobs(jobs []store.Item, states map[string]store.Item, now time.Time) {
	added := 0
	for _, item := range jobs {
		id, ok := poolstore.ParseJob(o.service, item.Key)
		if !ok {
			continue
		}
		state, ok := states[id]
		if !ok {
			// A job and its state are written in one transaction, and the states
			// were read later: this one was deleted after the job's end.
			o.log.Warn("job without stored progress ignored, as it has ended", zap.String("job", id))
			continue
		}
		if o.addJob(id, item, state, now) {
			added++
		}
	}
	o.log.Info("pool loaded", zap.Int("jobs", added), zap.Int("kept", len(states)))
}

// addJob adds a job to the pool, with its stored progress; stored is empty for a job that
// was just accepted. It reports whether the job was added and has not ended.
func (o *poolOwnership) addJob(id string, item, stored store.Item, now time.Time) bool {
	sub, err := poolstore.DecodeJob(o.service, id, item.Value)
	if err != nil {
		o.invalid.logOnce(o.log, "job not understood, skipped", &item, err)
		return false
	}
	state := poolstore.JobProgress{}
	revision := item.Revision
	if stored.Revision > 0 {
		if state, err = poolstore.DecodeState(stored.Key, stored.Value); err != nil {
			o.invalid.logOnce(o.log, "progress of a job not understood, the job is skipped", &stored, err)
			return false
		}
		revision = stored.Revision
	}
	o.pool.AddJob(sub, item.Created, revision, state.Progress, now)
	return !state.Progress.State.Final()
}
