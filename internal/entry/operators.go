package entry

import (
	"context"
	"time"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/operator"
	"persimmonbay/internal/operator/message"
)

// applyTimeout bounds one change of the configuration with all its retries.
const applyTimeout = 20 * time.Second

var _ operator.Backend = (*Entry)(nil)

// Status implements operator.Backend.
func (e *Entry) Status() message.Status {
	status := message.Status{
		QueriedEntry:         e.settings.ID,
		ConfigurationVersion: e.inForce.Get().Version,
		Entries:              []message.EntryStatus{e.ownStatus()},
		Instances:            len(e.inventory.Get().Instances),
	}
	now := e.clock.Now()
	for _, m := range e.members.Members() {
		status.Entries = append(status.Entries, message.EntryStatus{
			ID:                   string(m.ID),
			AvailabilityZone:     m.AvailabilityZone,
			OperatorAddress:      m.OperatorAddress,
			ConfigurationVersion: m.ConfigurationVersion,
			Alive:                m.Alive(now, e.settings.Membership.SuspectAfter),
			Leaving:              m.Leaving,
			StoreReachable:       m.StoreReachable,
			LastHeartbeat:        m.LastHeartbeat,
		})
	}
	return status
}

func (e *Entry) ownStatus() message.EntryStatus {
	h := e.health.Get()
	return message.EntryStatus{
		ID:                   e.settings.ID,
		AvailabilityZone:     e.settings.AvailabilityZone,
		OperatorAddress:      e.advertised().Operators,
		ConfigurationVersion: e.inForce.Get().Version,
		Alive:                true,
		Leaving:              h.leaving,
		StoreReachable:       h.storeReachable,
		LastHeartbeat:        e.clock.Now(),
	}
}

// InForce implements operator.Backend.
func (e *Entry) InForce() configuration.Versioned { return e.inForce.Get() }

// Apply implements operator.Backend. It continues when the operator disconnects,
// since the store may have accepted the change already.
func (e *Entry) Apply(ctx context.Context, who string, base configuration.Version, source []byte) (configuration.Version, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	version, err := e.configs.Apply(ctx, who, base, source)
	if err != nil {
		return 0, err
	}
	accepted, err := configstore.Parse(version, source)
	if err != nil {
		return 0, err
	}
	e.putInForce(accepted)
	return version, nil
}

// History implements operator.Backend.
func (e *Entry) History(ctx context.Context) ([]configstore.AppliedVersion, error) {
	return e.configs.History(ctx)
}
