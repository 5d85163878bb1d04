package poolmanager

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// Dependencies is what a manager works through.
type Dependencies struct {
	Store     store.Store
	Workers   Workers
	Adviser   Adviser  // nil: no queue needs advice
	Machines  Machines // nil: no machines can be ordered
	Directory Directory
	Operators Operators
	Clock     clockwork.Clock
	SinceBoot func() time.Duration // time since the machine started, suspensions included
	Log       *zap.Logger
	Metrics   *telemetry.Metrics
}
