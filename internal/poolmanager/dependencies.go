package poolmanager

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// Dependencies holds the services that a manager uses.
type Dependencies struct {
	Store     store.Store
	Workers   Workers
	Adviser   Adviser  // nil: no queue is configured to need advice
	Machines  Machines // nil: the platform accepts no orders for machines
	Directory Directory
	Operators Operators
	Clock     clockwork.Clock
	SinceBoot func() time.Duration // time since the machine started, suspensions included
	Log       *zap.Logger
	Metrics   *telemetry.Metrics
}
