package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// watchFleet keeps the fleet view up to date with the store until ctx ends.
func (m *Manager) watchFleet(ctx context.Context) {
	reset := func(_ context.Context, items []store.Item) error {
		now := m.Clock.Now()
		m.fleet.Update(func(old fleetView) (fleetView, bool) {
			next := newFleetView()
			next.known = true
			for service := range old.owners {
				next.owners[service] = poolOwner{since: now}
			}
			for _, item := range items {
				m.applyFleet(&next, store.Event{Item: item}, now)
			}
			return next, true
		})
		m.changed.send()
		return nil
	}
	apply := func(events []store.Event) {
		now := m.Clock.Now()
		m.fleet.Update(func(old fleetView) (fleetView, bool) {
			next := old.clone()
			for _, e := range events {
				m.applyFleet(&next, e, now)
			}
			return next, true
		})
		m.changed.send()
	}
	m.newWatcher(poolstore.FleetPrefix, reset, apply).run(ctx, 0)
}

// applyFleet applies an event to a view that is not shared yet. A value that cannot
// be decoded, such as one of a later version of this program, is logged and skipped.
func (m *Manager) applyFleet(v *fleetView, e store.Event, now time.Time) {
	if err := v.apply(e, now); err != nil {
		m.invalid.logOnce(m.Log, "value with fleet data not understood, skipped", &e.Item, err)
	}
}

// watchOperators keeps the configuration and the waves up to date with the store
// until ctx ends.
func (m *Manager) watchOperators(ctx context.Context) { m.operatorsWatcher().run(ctx, 0) }

func (m *Manager) operatorsWatcher() *watcher {
	reset := func(_ context.Context, items []store.Item) error {
		m.waves.Update(func(waveView) (waveView, bool) { return waveView{}, true })
		for _, item := range items {
			m.applyOperators(store.Event{Item: item})
		}
		m.changed.send()
		return nil
	}
	apply := func(events []store.Event) {
		for _, e := range events {
			m.applyOperators(e)
		}
		m.changed.send()
	}
	w := m.newWatcher(m.Operators.OperatorsPrefix(), reset, apply)
	w.sinceBoot, w.confirm = m.SinceBoot, m.config.Confirm
	return w
}

func (m *Manager) applyOperators(e store.Event) {
	if e.Deleted {
		m.waves.Update(func(v waveView) (waveView, bool) { return v.without(e.Key), true })
		return
	}
	config, err := m.Operators.Configuration(e.Item)
	if err != nil {
		m.invalid.logOnce(m.Log, "configuration not understood, the last one stays in force", &e.Item, err)
	}
	if config != nil && m.config.Put(config) {
		m.Log.Info("configuration in force", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)), zap.Int("teams", len(config.Teams)))
	}
	wave, err := m.Operators.Wave(e.Item)
	if err != nil {
		m.invalid.logOnce(m.Log, "wave not understood, skipped", &e.Item, err)
	}
	if wave != nil {
		m.waves.Update(func(v waveView) (waveView, bool) { return v.with(e.Key, *wave), true })
	}
}
