package entry

import "persimmonbay/internal/configuration"

// sighting is a version seen in force at the peer at address.
type sighting struct {
	version configuration.Version
	address string
}
