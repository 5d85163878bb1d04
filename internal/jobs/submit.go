package jobs

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/problem"
)

// maxConcurrentUpdates bounds the concurrent updates of shards for one call.
const maxConcurrentUpdates = 8

// Submit queues jobs with one write per shard. When one of them can never run,
// none is queued. Repeating a submission with the same IDs changes nothing.
// Errors are *problem.Error; after one from a write, some of the jobs may be
// queued.
func Submit(ctx context.Context, store *jobstore.Store, fleet Fleet, now time.Time, submitted []placement.Job) error {
	byShard := make(map[int][]placement.Job)
	for _, j := range submitted {
		team, configured := fleet.Teams[j.Team]
		if err := placement.Admit(j, team, configured, fleet.Workers, now); err != nil {
			return err
		}
		j.Phase, j.Submitted, j.Since = placement.Queued, now, now
		byShard[jobstore.ShardOf(j.ID)] = append(byShard[jobstore.ShardOf(j.ID)], j)
	}
	return eachShard(ctx, byShard, func(ctx context.Context, index int, jobs []placement.Job) error {
		return store.Update(ctx, index, func(s jobstore.Shard) (jobstore.Shard, bool, error) { return added(s, jobs) })
	})
}

// added returns s with those of the jobs that are not in it, and false when all
// are. An ID that belongs to a different job is an error of kind Mismatch.
func added(s jobstore.Shard, jobs []placement.Job) (jobstore.Shard, bool, error) {
	var missing []placement.Job
	for _, j := range jobs {
		stored, found := s.Find(j.ID)
		if !found {
			missing = append(missing, j)
			continue
		}
		if stored.Team != j.Team || stored.Name != j.Name || stored.Work != j.Work {
			return s, false, problem.New(problem.Mismatch, problem.StepPlace, j.ID, "a different job already has this ID")
		}
	}
	if len(missing) == 0 {
		return s, false, nil
	}
	return s.With(missing...), true, nil
}

// Cancel cancels the selected jobs that have not ended, with one write per shard,
// and returns the jobs that it changed in their new state. Errors are
// *problem.Error; the jobs returned with one have been cancelled, and others may
// have been.
func Cancel(ctx context.Context, store *jobstore.Store, selection Selection, by string, now time.Time) ([]placement.Job, error) {
	shards, err := store.LoadAll(ctx)
	if err != nil {
		return nil, err
	}
	selected := make(map[int][]placement.Job)
	for _, s := range shards {
		for i := range s.Jobs {
			if selection.Matches(&s.Jobs[i]) && !s.Jobs[i].Phase.Ended() {
				selected[s.Index] = append(selected[s.Index], s.Jobs[i])
			}
		}
	}
	cancelled := NewView()
	err = eachShard(ctx, selected, func(ctx context.Context, index int, _ []placement.Job) error {
		return store.Update(ctx, index, func(s jobstore.Shard) (jobstore.Shard, bool, error) {
			changed := cancelIn(s, selection, by, now)
			if len(changed) > 0 { // empty when an earlier try took effect but its response was lost
				cancelled.Put(jobstore.Shard{Index: index, Version: s.Version, Jobs: changed})
			}
			return s.With(changed...), len(changed) > 0, nil
		})
	})
	return cancelled.Jobs(), err
}

// cancelIn returns the selected jobs of s that Cancel changes, in their new
// state.
func cancelIn(s jobstore.Shard, selection Selection, by string, now time.Time) []placement.Job {
	var changed []placement.Job
	for i := range s.Jobs {
		if !selection.Matches(&s.Jobs[i]) {
			continue
		}
		j, err := s.Jobs[i].Cancel(by, now)
		if err == nil && j.Phase != s.Jobs[i].Phase {
			changed = append(changed, j)
		}
	}
	return changed
}

func eachShard(ctx context.Context, byShard map[int][]placement.Job, do func(context.Context, int, []placement.Job) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentUpdates)
	for index, jobs := range byShard {
		group.Go(func() error { return do(ctx, index, jobs) })
	}
	return group.Wait()
}
