package wire

import "persimmonbay/internal/membership"

// FromRegistrations converts registrations to their message.
func FromRegistrations(registrations []membership.Registration) *Members {
	m := &Members{}
	for _, r := range registrations {
		m.Members = append(m.Members, fromRegistration(r))
	}
	return m
}

// ToRegistrations converts a message to registrations.
func ToRegistrations(m *Members) []membership.Registration {
	registrations := make([]membership.Registration, 0, len(m.GetMembers()))
	for _, r := range m.GetMembers() {
		registrations = append(registrations, toRegistration(r))
	}
	return registrations
}

func fromRegistration(r membership.Registration) *Registration {
	return &Registration{
		Id:               string(r.ID),
		PeerAddress:      r.PeerAddress,
		OperatorAddress:  r.OperatorAddress,
		AvailabilityZone: r.AvailabilityZone,
	}
}

func toRegistration(m *Registration) membership.Registration {
	return membership.Registration{
		ID:               membership.EntryID(m.GetId()),
		PeerAddress:      m.GetPeerAddress(),
		OperatorAddress:  m.GetOperatorAddress(),
		AvailabilityZone: m.GetAvailabilityZone(),
	}
}

func fromOptionalRegistration(r *membership.Registration) *Registration {
	if r == nil {
		return nil
	}
	return fromRegistration(*r)
}

func toOptionalRegistration(m *Registration) *membership.Registration {
	if m == nil {
		return nil
	}
	r := toRegistration(m)
	return &r
}
