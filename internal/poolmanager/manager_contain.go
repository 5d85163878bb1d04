package poolmanager

import (
	"context"

	"go.uber.org/zap"
)

// runContained runs f and reports whether it returned. An unexpected error in f is
// logged.
func (m *Manager) runContained(f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			m.Log.Error("unexpected error", zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	f()
	return true
}

// keepRunning runs loop until it returns or ctx ends. After an unexpected error, loop
// starts again: it reads all that it works on anew.
func (m *Manager) keepRunning(ctx context.Context, loop func(context.Context)) {
	for ctx.Err() == nil && !m.runContained(func() { loop(ctx) }) {
		sleep(ctx, m.Clock, failedOwnershipPause)
	}
}
