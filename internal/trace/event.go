package trace

import "time"

// Event is a failure that a replay injects.
type Event struct {
	At       time.Duration `yaml:"at"`
	LoseZone string        `yaml:"loseZone" validate:"required"` // availability zone whose upstreams and entries fail together
}
