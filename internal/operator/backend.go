package operator

import (
	"context"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/operator/message"
)

// Backend is what the operators' face needs of an entry.
type Backend interface {
	LedgerBackend
	FleetBackend
	JobsBackend
	// Ready returns nil when the entry may receive requests, or why not.
	Ready() error
	Status() message.Status
	InForce() configuration.Versioned
	Apply(ctx context.Context, operator string, base configuration.Version, source []byte) (configuration.Version, error)
	History(ctx context.Context) ([]configstore.Applied, error)
}
