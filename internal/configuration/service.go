package configuration

import "time"

// Service is the configuration of one upstream service.
type Service struct {
	Name               string        `yaml:"name" validate:"required,label"`
	Pool               string        `yaml:"pool" validate:"required"`
	AvailabilityBudget float64       `yaml:"availabilityBudget" validate:"gt=0,lte=1"` // share of the pool's instances that may be away at once
	Slots              int           `yaml:"slots" validate:"gt=0"`                    // requests in progress on one instance at once, over all entries
	Connections        int           `yaml:"connections" validate:"gt=0"`              // open connections that one instance accepts; shown to operators only
	Timeout            time.Duration `yaml:"timeout" validate:"gt=0"`                  // of a request whose caller sets no timeout
	SilenceLimit       time.Duration `yaml:"silenceLimit" validate:"gt=0"`             // a connection in use is suspected of failure when it receives no byte for this long
	NonIdempotent      []Route       `yaml:"nonIdempotent" validate:"dive"`            // routes that require an Idempotency-Key
}

// Idempotent reports whether a request may be repeated without harm, that is,
// whether no route of NonIdempotent matches it.
func (s *Service) Idempotent(method, path string) bool {
	for _, r := range s.NonIdempotent {
		if r.Matches(method, path) {
			return false
		}
	}
	return true
}
