package operator

import (
	"context"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/operator/message"
)

// Backend is what the operators' API needs of an entry.
type Backend interface {
	LedgerBackend
	FleetBackend
	JobsBackend
	// Ready returns nil when the entry may receive requests, and otherwise the
	// reason why it may not.
	Ready() error
	// Status returns the state of the fleet as this entry knows it.
	Status() message.Status
	// InForce returns the configuration in force on this entry.
	InForce() configuration.Versioned
	// Apply replaces the configuration of version base by source, a YAML
	// document, and returns the new version. The error is a problem.Conflict
	// when another version than base is the accepted one.
	Apply(ctx context.Context, operator string, base configuration.Version, source []byte) (configuration.Version, error)
	// History returns the applied versions, with operator and time of each.
	History(ctx context.Context) ([]configstore.AppliedVersion, error)
}
