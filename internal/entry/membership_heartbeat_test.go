package entry

import "persimmonbay/internal/membership"

// membershipHeartbeat is what p would send.
func membershipHeartbeat(p *fakePeer, registration *membership.Registration) membership.Heartbeat {
	return membership.Heartbeat{Entry: p.id, ConfigurationVersion: p.version, Incarnation: 1, Registration: registration}
}
