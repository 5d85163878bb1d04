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

func (t *poolOwnership) load() (from int64, offered map[string]int64, ok bool) {
	for t.ctx.Err() == nil {
		from, offered, err := t.tryLoad()
		if err == nil {
			return from, offered, true
		}
		t.log.Info("jobs not read yet", telemetry.ProblemFields(err)...)
		sleep(t.ctx, t.Clock, firstRetry)
	}
	return 0, nil, false
}

func (t *poolOwnership) tryLoad() (int64, map[string]int64, error) {
	ctx, cancel := context.WithTimeout(t.ctx, readAllTimeout)
	defer cancel()
	roster, err := t.loadRoster(ctx)
	if err != nil {
		return 0, nil, err
	}
	now := t.Clock.Now()
	// A incarnation of this entry that kept no roster tells nothing of the owner before.
	roster.Released = roster.Released || t.past != 0 && roster.Token == t.past
	t.pool = scheduler.NewPool(t.service, t.token, t.timing.Scheduler, roster, now)
	if err := t.writeRoster(ctx); err != nil {
		return 0, nil, err
	}
	offered, err := t.loadOffers(ctx)
	if err != nil {
		return 0, nil, err
	}
	jobs, from, err := t.Store.Range(ctx, poolstore.WorkPrefix(t.service))
	if err != nil {
		return 0, nil, err
	}
	if !t.ownsAll(jobs) {
		return 0, nil, problem.New(problem.Conflict, problem.StepStoreRead, t.service, "the pool has a later owner")
	}
	states, _, err := t.Store.Range(ctx, poolstore.StatePrefix(t.service))
	if err != nil {
		return 0, nil, err
	}
	t.addJobs(jobs, t.decodeStates(states), now)
	return from, offered, nil
}

func (t *poolOwnership) loadRoster(ctx context.Context) (scheduler.WorkerRoster, error) {
	if t.left == nil {
		roster, err := t.readRoster(ctx)
		if err != nil {
			return scheduler.WorkerRoster{}, err
		}
		t.left = &roster
	}
	return *t.left, nil
}

func (t *poolOwnership) readRoster(ctx context.Context) (scheduler.WorkerRoster, error) {
	key := poolstore.RosterKey(t.service)
	item, err := t.Store.Get(ctx, key)
	if problem.Is(err, problem.NotFound) {
		t.own.learn(key, 0)
		return scheduler.WorkerRoster{}, nil
	}
	if err != nil {
		return scheduler.WorkerRoster{}, err
	}
	t.own.learn(key, item.Revision)
	roster, err := poolstore.DecodeRoster(key, item.Value)
	if err != nil {
		t.invalid.logOnce(t.log, "roster not understood", &item, err)
		return unknownRoster(t.token), nil
	}
	return roster, nil
}

func (t *poolOwnership) decodeStates(items []store.Item) map[string]store.Item {
	states := make(map[string]store.Item, len(items))
	for _, item := range items {
		if id, ok := poolstore.ParseState(t.service, item.Key); ok {
			states[id] = item
		}
	}
	return states
}

func (t *poolOwnership) addJobs(jobs []store.Item, states map[string]store.Item, now time.Time) {
	added := 0
	for _, item := range jobs {
		id, ok := poolstore.ParseJob(t.service, item.Key)
		if !ok {
			continue
		}
		kept, ok := states[id]
		if !ok {
			// Both are written at once, and the states were read later: this
			// one was removed after the job's end.
			t.log.Warn("job without progress ignored", zap.String("job", id))
			continue
		}
		if t.addJob(id, item, kept, now) {
			added++
		}
	}
	t.log.Info("pool loaded", zap.Int("jobs", added), zap.Int("kept", len(states)))
}

func (t *poolOwnership) addJob(id string, item, kept store.Item, now time.Time) bool {
	sub, err := poolstore.DecodeJob(t.service, id, item.Value)
	if err != nil {
		t.invalid.logOnce(t.log, "job not understood", &item, err)
		return false
	}
	state := poolstore.SavedState{}
	revision := item.Revision
	if kept.Revision > 0 {
		if state, err = poolstore.DecodeState(kept.Key, kept.Value); err != nil {
			t.invalid.logOnce(t.log, "progress not understood", &kept, err)
			return false
		}
		revision = kept.Revision
	}
	t.pool.AddJob(sub, item.Created, revision, state.Progress, now)
	return !state.Progress.State.Final()
}
