package wire

import (
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/problem"
)

// FromHeartbeat converts a plain heartbeat, sent at now, to its message.
func FromHeartbeat(h membership.Heartbeat, now time.Time) *Heartbeat {
	return &Heartbeat{
		Entry:                string(h.Entry),
		ConfigurationVersion: uint64(h.ConfigurationVersion),
		Leaving:              h.Leaving,
		StoreReachable:       h.StoreReachable,
		ConfirmedAgeMillis:   fromOptionalTime(h.Confirmed, now),
		Registration:         fromOptionalRegistration(h.Registration),
		Stranger:             h.Stranger,
		Incarnation:          h.Incarnation,
		Instances:            FromStamp(h.Instances, now),
		LeavingUpstreams:     fromLeavingMarks(h.LeavingUpstreams),
		MaintenanceRevision:  h.MaintenanceRevision,
	}
}

// ToHeartbeat converts a message, received at now, to a plain heartbeat.
func ToHeartbeat(m *Heartbeat, now time.Time) membership.Heartbeat {
	if m == nil {
		m = &Heartbeat{}
	}
	return membership.Heartbeat{
		Entry:                membership.EntryID(m.GetEntry()),
		ConfigurationVersion: configuration.Version(m.GetConfigurationVersion()),
		Leaving:              m.GetLeaving(),
		StoreReachable:       m.GetStoreReachable(),
		Confirmed:            toOptionalTime(m.ConfirmedAgeMillis, now),
		Registration:         toOptionalRegistration(m.GetRegistration()),
		Stranger:             m.GetStranger(),
		Incarnation:          m.GetIncarnation(),
		Instances:            ToStamp(m.GetInstances(), now),
		LeavingUpstreams:     toLeavingMarks(m.GetLeavingUpstreams()),
		MaintenanceRevision:  m.GetMaintenanceRevision(),
	}
}

// FromError converts an error to the message that carries it.
func FromError(err error) *Failure {
	return &Failure{Kind: string(problem.KindOf(err)), Step: string(problem.StepPeerCall), Detail: err.Error()}
}

// ToError converts the failure that peer sent to an error.
func ToError(peer string, m *Failure) error {
	return problem.New(problem.Kind(m.GetKind()), problem.Step(m.GetStep()), peer, m.GetDetail())
}
