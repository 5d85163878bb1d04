package entry

import "persimmonbay/internal/configuration"

// peerVersion is a configuration version that the peer at address has in force.
type peerVersion struct {
	version configuration.Version
	address string
}
