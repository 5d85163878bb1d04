package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// watchFleet keeps up with entries and owners.
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
				k.takeFleet(&next, store.Event{Item: item}, now)
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
				k.takeFleet(&next, e, now)
			}
			return next, true
		})
		k.changed.send()
	}
	k.newWatcher(poolstore.FleetPrefix, reset, apply).run(ctx, 0)
}

// takeFleet takes an event into a view that nobody else sees yet. What is not
// understood, a later version's entry say, is passed over.
func (k *Manager) takeFleet(v *fleetView, e store.Event, now time.Time) {
	if err := v.apply(e, now); err != nil {
		k.invalid.logOnce(k.Log, "entry of the fleet not understood", &e.Item, err)
	}
}

// watchOperators keeps up with the configuration and the waves.
func (k *Manager) watchOperators(ctx context.Context) {
	reset := func(_ context.Context, items []store.Item) error {
		k.waves.Update(func(waveView) (waveView, bool) { return waveView{}, true })
		for _, item := range items {
			k.takeOperators(store.Event{Item: item})
		}
		k.changed.send()
		return nil
	}
	apply := func(events []store.Event) {
		for _, e := range events {
			k.takeOperators(e)
		}
		k.changed.send()
	}
	k.newWatcher(k.Operators.OperatorsPrefix(), reset, apply).run(ctx, 0)
}

func (k *Manager) takeOperators(e store.Event) {
	if e.Deleted {
		k.waves.Update(func(v waveView) (waveView, bool) { return v.without(e.Key), true })
		return
	}
	config, err := k.Operators.Configuration(e.Item)
	if err != nil {
		k.invalid.logOnce(k.Log, "configuration not understood", &e.Item, err)
	}
	if config != nil && k.config.Put(config) {
		k.Log.Info("configuration in force", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)))
	}
	wave, err := k.Operators.Wave(e.Item)
	if err != nil {
		k.invalid.logOnce(k.Log, "wave not understood", &e.Item, err)
	}
	if wave != nil {
		k.waves.Update(func(v waveView) (waveView, bool) { return v.with(e.Key, *wave), true })
	}
}
