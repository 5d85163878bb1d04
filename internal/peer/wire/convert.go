package wire

import (
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/problem"
)

// FromHeartbeat converts a heartbeat that is sent at now to its message.
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
		UptimeMillis:         fromOptionalTime(h.StartedAt, now),
		Incarnation:          h.Incarnation,
		Instances:            FromStamp(h.Instances, now),
		LeavingUpstreams:     fromLeavingMarks(h.LeavingUpstreams),
		MaintenanceRevision:  h.MaintenanceRevision,
	}
}

// FromKnownHeartbeat returns the short message of a heartbeat whose receiver has
// already received all fields that its state covers: the state, the ages, the uptime and
// whether the sender of the request is unknown.
func FromKnownHeartbeat(h membership.Heartbeat, now time.Time) *Heartbeat {
	return &Heartbeat{
		State:              h.State(),
		Stranger:           h.UnknownSender,
		ConfirmedAgeMillis: fromOptionalTime(h.Confirmed, now),
		UptimeMillis:       fromOptionalTime(h.StartedAt, now),
		Instances:          &InstancesStamp{AgeMillis: FromStamp(h.Instances, now).GetAgeMillis()},
	}
}

// IsComplete reports whether the message has all fields of a heartbeat, as
// FromHeartbeat sets them, not only those that FromKnownHeartbeat sets.
func (x *Heartbeat) IsComplete() bool { return x.GetEntry() != "" || x.GetState() == 0 }

// ToHeartbeat converts a message that was sent at sentAt, by the receiver's clock, to a
// heartbeat. A nil message gives an empty heartbeat.
func ToHeartbeat(m *Heartbeat, sentAt time.Time) membership.Heartbeat {
	if m == nil {
		m = &Heartbeat{}
	}
	return membership.Heartbeat{
		Entry:                membership.EntryID(m.GetEntry()),
		ConfigurationVersion: configuration.Version(m.GetConfigurationVersion()),
		Leaving:              m.GetLeaving(),
		StoreReachable:       m.GetStoreReachable(),
		Confirmed:            toOptionalTime(m.ConfirmedAgeMillis, sentAt),
		Registration:         toOptionalRegistration(m.GetRegistration()),
		UnknownSender:        m.GetStranger(),
		Incarnation:          m.GetIncarnation(),
		SentAt:               sentAt,
		Instances:            ToStamp(m.GetInstances(), sentAt),
		LeavingUpstreams:     toLeavingMarks(m.GetLeavingUpstreams()),
		MaintenanceRevision:  m.GetMaintenanceRevision(),
	}
}

// FromError converts err to its message. The message has the kind of err, but
// always the step StepPeerCall.
func FromError(err error) *Failure {
	return &Failure{Kind: string(problem.KindOf(err)), Step: string(problem.StepPeerCall), Detail: err.Error()}
}

// ToError converts a failure that peer sent to a *problem.Error.
func ToError(peer string, m *Failure) error {
	return problem.New(problem.Kind(m.GetKind()), problem.Step(m.GetStep()), peer, m.GetDetail())
}
