package entry

import (
	"context"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/operator"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

var _ operator.Backend = (*Entry)(nil)

// Ready implements operator.Backend. An entry that can reach neither the store
// nor a peer may have missed a configuration and is not ready.
func (e *Entry) Ready() error {
	h := e.health.Get()
	switch {
	case h.leaving:
		return problem.New(problem.Unavailable, problem.StepShutdown, "", "this entry is leaving")
	case e.inForce.Get().Configuration == nil:
		return problem.New(problem.Unavailable, problem.StepConfiguration, "", "no configuration is in force yet; apply one with 'persimmonbay config apply'")
	case !h.storeReachable && !h.peerReachable:
		return problem.New(problem.Unavailable, problem.StepConfiguration, "", "neither the platform nor a peer can be reached")
	}
	return nil
}

// Status implements operator.Backend.
func (e *Entry) Status() message.Status {
	status := message.Status{
		Asked:                e.settings.ID,
		ConfigurationVersion: e.inForce.Get().Version,
		Entries:              []message.EntryStatus{e.ownStatus()},
		Instances:            len(e.instances.Get()),
	}
	now := e.clock.Now()
	for _, m := range e.members.Members() {
		status.Entries = append(status.Entries, message.EntryStatus{
			ID:                   string(m.ID),
			AvailabilityZone:     m.AvailabilityZone,
			OperatorAddress:      m.OperatorAddress,
			ConfigurationVersion: m.ConfigurationVersion,
			Alive:                m.Alive(now, e.settings.Membership.SilentFor),
			Leaving:              m.Leaving,
			StoreReachable:       m.StoreReachable,
			LastHeard:            m.LastHeard,
		})
	}
	return status
}

func (e *Entry) ownStatus() message.EntryStatus {
	h := e.health.Get()
	return message.EntryStatus{
		ID:                   e.settings.ID,
		AvailabilityZone:     e.settings.AvailabilityZone,
		OperatorAddress:      e.Addresses().Operators,
		ConfigurationVersion: e.inForce.Get().Version,
		Alive:                true,
		Leaving:              h.leaving,
		StoreReachable:       h.storeReachable,
		LastHeard:            e.clock.Now(),
	}
}

// InForce implements operator.Backend.
func (e *Entry) InForce() configuration.Versioned { return e.inForce.Get() }

// Apply implements operator.Backend.
func (e *Entry) Apply(ctx context.Context, who string, base configuration.Version, source []byte) (configuration.Version, error) {
	version, err := e.configs.Apply(ctx, who, base, source)
	if err != nil {
		return 0, err
	}
	accepted, err := configstore.Parse(version, source)
	if err != nil {
		return 0, err
	}
	e.offer(accepted)
	return version, nil
}

// History implements operator.Backend.
func (e *Entry) History(ctx context.Context) ([]configstore.Applied, error) {
	return e.configs.History(ctx)
}
