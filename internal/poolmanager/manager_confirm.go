package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// ReadConfiguration puts the stored configuration into force and confirms it, by a read
// that is sent after the call. It returns the error of the store or of ctx.
func (m *Manager) ReadConfiguration(ctx context.Context) error { return m.reader.read(ctx) }

// applyConfiguration puts a stored configuration into force, beside the watch. It reports
// false after an unexpected error.
func (m *Manager) applyConfiguration(item store.Item) bool {
	defer m.changed.send()
	return m.runContained(func() { m.applyOperators(store.Event{Item: item}) })
}

// confirmConfiguration reads the configuration whenever the watch has not confirmed it for
// as long as timing.ConfirmAfter, until ctx ends.
func (m *Manager) confirmConfiguration(ctx context.Context) {
	if m.timing.ConfirmAfter <= 0 {
		return
	}
	failing := false
	for ctx.Err() == nil {
		if wait := m.confirmIn(); wait > 0 {
			sleep(ctx, m.Clock, wait)
			continue
		}
		err := m.reader.read(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			m.logConfirmation(err)
		}
	}
}

// confirmIn returns how long the last confirmation suffices. Without teams there is nothing
// to confirm.
func (m *Manager) confirmIn() time.Duration {
	confirmation := m.config.Confirmed()
	age, confirmed := confirmation.Age(m.SinceBoot())
	if config := m.config.Get(); config == nil || len(config.Teams) == 0 {
		return m.timing.ConfirmAfter
	}
	if !confirmed {
		return 0
	}
	return m.timing.ConfirmAfter - age
}

func (m *Manager) logConfirmation(err error) {
	age, _ := m.config.Confirmed().Age(m.SinceBoot())
	if err != nil {
		m.Log.Warn("configuration not confirmed, keyed calls are refused once it is too old", append(telemetry.ProblemFields(err), zap.Duration("age", age))...)
		return
	}
	m.Log.Info("configuration confirmed again", zap.Duration("age", age))
}
