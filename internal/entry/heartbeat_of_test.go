package entry

import "persimmonbay/internal/membership"

// heartbeatOf returns the heartbeat that p would send.
func heartbeatOf(p *fakePeer, registration *membership.Registration) membership.Heartbeat {
	return membership.Heartbeat{Entry: p.id, ConfigurationVersion: p.version, Incarnation: 1, Registration: registration}
}
