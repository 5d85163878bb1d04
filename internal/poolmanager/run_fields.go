package poolmanager

import (
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/scheduler"
)

// runFields returns the fields that name a run.
func runFields(worker string, incarnation int64, t scheduler.TaskID, attempt int) []zap.Field {
	fields := []zap.Field{zap.String("worker", worker), zap.Int64("incarnation", incarnation)}
	if t.Job == "" {
		return fields
	}
	return append(fields, zap.String("job", t.Job), zap.Int("occurrence", t.Occurrence), zap.Int("step", t.Step), zap.Int("index", t.Index), zap.Int("attempt", attempt))
}

// until returns a field with the time from now until t, and since one with the time
// from t until now. A zero t is left out.
func until(key string, t, now time.Time) zap.Field {
	if t.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(key, t.Sub(now))
}

func since(key string, t, now time.Time) zap.Field {
	if t.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(key, now.Sub(t))
}

func outcome(key string, o scheduler.RunOutcome) zap.Field {
	if o == "" {
		return zap.Skip()
	}
	return zap.String(key, string(o))
}
