package identity

import "persimmonbay/internal/poolconfig"

// teamKey is one key of a team.
type teamKey struct {
	digest poolconfig.KeyDigest
	team   string
}
