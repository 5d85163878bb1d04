package trace

import "time"

// Event is a fault of the fleet.
type Event struct {
	At       time.Duration `yaml:"at"`
	LoseZone string        `yaml:"loseZone" validate:"required"` // its upstreams and entries end at once
}
