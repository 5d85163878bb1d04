package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// watchFleet keeps the fleet view up to date with the store until ctx ends.
func (k *Manager) watchFleet(ctx context.Context) {
	reset := func(_ context.Context, items []store.Item) error {
		now := k.Clock.Now()
		k.fleet.Update(func(old fleetView) (fleetView, bool) {
			next := newFleetView()
			next.known = true
			for service := range old.owners {
				next.owners[service] = ownerEntry{since: now}
			}
			for _, item := range items {
				k.applyFleet(&next, store.Event{Item: item}, now)
			}
			return next, true
		})
		k.changed.send()
		return nil
	}
	apply := func(events []store.Event) {
		now := k.Clock.Now()
		k.fleet.Update(func(old fleetView) (fleetView, bool) {
			next := old.clone()
			for _, e := range events {
				k.applyFleet(&next, e, now)
			}
			return next, true
		})
		k.changed.send()
	}
	k.newWatcher(poolstore.FleetPrefix, reset, apply).run(ctx, 0)
}

// applyFleet applies an event to a view that is not shared yet. A value that cannot
// be decoded, such as one of a later version of this program, is logged and skipped.
func (k *Manager) applyFleet(v *fleetView, e store.Event, now time.Time) {
	if err := v.apply(e, now); err != nil {
		k.invalid.logOnce(k.Log, "value with fleet data not understood, skipped", &e.Item, err)
	}
}

// watchOperators keeps the configuration and the waves up to date with the store
// until ctx ends.
func (k *Manager) watchOperators(ctx context.Context) {
	reset := func(_ context.Context, items []store.Item) error {
		k.waves.Update(func(waveView) (waveView, bool) { return waveView{}, true })
		for _, item := range items {
			k.applyOperators(store.Event{Item: item})
		}
		k.changed.send()
		return nil
	}
	apply := func(events []store.Event) {
		for _, e := range events {
			k.applyOperators(e)
		}
		k.changed.send()
	}
	k.newWatcher(k.Operators.OperatorsPrefix(), reset, apply).run(ctx, 0)
}

func (k *Manager) applyOperators(e store.Event) {
	if e.Deleted {
		k.waves.Update(func(v waveView) (waveView, bool) { return v.without(e.Key), true })
		return
	}
	config, err := k.Operators.Configuration(e.Item)
	if err != nil {
		k.invalid.logOnce(k.Log, "configuration not understood, the last one stays in force", &e.Item, err)
	}
	if config != nil && k.config.Put(config) {
		k.Log.Info("configuration in force", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)))
	}
	wave, err := k.Operators.Wave(e.Item)
	if err != nil {
		k.invalid.logOnce(k.Log, "wave not understood, skipped", &e.Item, err)
	}
	if wave != nil {
		k.waves.Update(func(v waveView) (waveView, bool) { return v.with(e.Key, *wave), true })
	}
}
