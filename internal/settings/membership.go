package settings

import "time"

// Membership holds the timing of an entry's lease and of heartbeats among entries.
type Membership struct {
	LeaseTTL     time.Duration `yaml:"leaseTTL" validate:"gte=1s"`
	Heartbeat    time.Duration `yaml:"heartbeat" validate:"gte=10ms"`
	SuspectAfter time.Duration `yaml:"silentFor" validate:"gt=0"` // a peer without a heartbeat for this long is suspected to have failed
}
