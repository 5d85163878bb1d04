package keeper

import (
	"context"
	"maps"

	"go.uber.org/zap"

	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/work"
	"persimmonbay/internal/workstore"
)

// followFleet keeps up with entries, owners and machines to be emptied.
func (k *Keeper) followFleet(ctx context.Context) {
	reset := func(_ context.Context, items []store.Item) error {
		now := k.Clock.Now()
		k.fleet.Update(func(old fleetView) (fleetView, bool) {
			next := newFleetView()
			next.known = true
			for service := range old.owners {
				next.owners[service] = ownerEntry{since: now}
			}
			for _, item := range items {
				next.apply(store.Event{Item: item}, now)
			}
			return next, true
		})
		k.changed.send()
		return nil
	}
	apply := func(e store.Event) {
		k.fleet.Update(func(old fleetView) (fleetView, bool) { return old.with(e, k.Clock.Now()), true })
		k.changed.send()
	}
	k.follower(workstore.FleetPrefix, reset, apply).run(ctx, 0)
}

// followOperators keeps up with the configuration and the waves.
func (k *Keeper) followOperators(ctx context.Context) {
	reset := func(_ context.Context, items []store.Item) error {
		k.waves.Update(func(waveView) (waveView, bool) { return waveView{}, true })
		for _, item := range items {
			k.takeOperators(store.Event{Item: item})
		}
		return nil
	}
	k.follower(k.Operators.OperatorsPrefix(), reset, k.takeOperators).run(ctx, 0)
}

func (k *Keeper) takeOperators(e store.Event) {
	defer k.changed.send()
	if e.Deleted {
		k.waves.Update(func(v waveView) (waveView, bool) { return v.without(e.Key), true })
		return
	}
	config, err := k.Operators.Configuration(e.Item)
	if err != nil {
		k.Log.Error("configuration not understood", append(telemetry.ProblemFields(err), zap.String("key", e.Key))...)
	}
	if config != nil && k.config.Put(config) {
		k.Log.Info("configuration in force", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)))
	}
	wave, err := k.Operators.Wave(e.Item)
	if err != nil {
		k.Log.Error("wave not understood", append(telemetry.ProblemFields(err), zap.String("key", e.Key))...)
	}
	if wave != nil {
		k.waves.Update(func(v waveView) (waveView, bool) { return v.with(e.Key, *wave), true })
	}
}

// followWorkers keeps up with the platform's list of workers.
func (k *Keeper) followWorkers(ctx context.Context) {
	reset := func(_ context.Context, items []store.Item) error {
		next := make(map[string]work.WorkerFacts, len(items))
		for _, item := range items {
			k.takeWorker(next, store.Event{Item: item})
		}
		k.workers.Update(func(map[string]work.WorkerFacts) (map[string]work.WorkerFacts, bool) { return next, true })
		return nil
	}
	apply := func(e store.Event) {
		k.workers.Update(func(old map[string]work.WorkerFacts) (map[string]work.WorkerFacts, bool) {
			next := maps.Clone(old)
			k.takeWorker(next, e)
			return next, true
		})
	}
	f := k.follower(k.Directory.WorkersPrefix(), reset, apply)
	f.pause = k.bounds.ListPause
	f.run(ctx, 0)
}

func (k *Keeper) takeWorker(workers map[string]work.WorkerFacts, e store.Event) {
	if e.Deleted {
		delete(workers, e.Key)
		return
	}
	facts, err := k.Directory.Worker(e.Item)
	if err != nil {
		k.Log.Warn("entry of the list of workers ignored", append(telemetry.ProblemFields(err), zap.String("key", e.Key))...)
		delete(workers, e.Key)
		return
	}
	workers[e.Key] = facts
}
