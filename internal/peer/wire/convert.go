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
		State:                h.State(),
		Entry:                string(h.Entry),
		ConfigurationVersion: uint64(h.ConfigurationVersion),
		Leaving:              h.Leaving,
		StoreReachable:       h.StoreReachable,
		ConfirmedAgeMillis:   fromOptionalTime(h.Confirmed, now),
		Registration:         fromOptionalRegistration(h.Registration),
		Stranger:             h.UnknownSender,
		Incarnation:          h.Incarnation,
		Instances:            FromStamp(h.Instances, now),
		LeavingUpstreams:     fromLeavingMarks(h.LeavingUpstreams),
		MaintenanceRevision:  h.MaintenanceRevision,
	}
}

// FromKnownHeartbeat converts the ages of a heartbeat whose receiver knows all
// else by its state.
func FromKnownHeartbeat(h membership.Heartbeat, now time.Time) *Heartbeat {
	return &Heartbeat{
		State:              h.State(),
		Stranger:           h.UnknownSender,
		ConfirmedAgeMillis: fromOptionalTime(h.Confirmed, now),
		Instances:          &InstancesStamp{AgeMillis: FromStamp(h.Instances, now).GetAgeMillis()},
	}
}

// Whole reports whether a message has all that a heartbeat tells, not only its
// state and ages.
func (x *Heartbeat) Whole() bool { return x.GetEntry() != "" || x.GetState() == 0 }

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
		UnknownSender:        m.GetStranger(),
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
