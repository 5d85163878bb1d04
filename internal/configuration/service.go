package configuration

import "time"

// Service is one upstream service as configured.
type Service struct {
	Name               string        `yaml:"name" validate:"required,label"`
	Pool               string        `yaml:"pool" validate:"required"`
	AvailabilityBudget float64       `yaml:"availabilityBudget" validate:"gt=0,lte=1"` // share of instances that may be away at once
	Slots              int           `yaml:"slots" validate:"gt=0"`                    // requests at work on one instance
	Connections        int           `yaml:"connections" validate:"gt=0"`              // open connections to one instance
	Timeout            time.Duration `yaml:"timeout" validate:"gt=0"`                  // of a request whose caller names none
	SilenceLimit       time.Duration `yaml:"silenceLimit" validate:"gt=0"`             // a busy connection without a byte for this long is suspect
	NonIdempotent      []Route       `yaml:"nonIdempotent" validate:"dive"`            // routes that demand an Idempotency-Key
}

// Idempotent reports whether a request may be repeated without harm.
func (s *Service) Idempotent(method, path string) bool {
	for _, r := range s.NonIdempotent {
		if r.Matches(method, path) {
			return false
		}
	}
	return true
}
