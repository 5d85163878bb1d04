package trace

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Stream describes the requests of one team and class to one service.
type Stream struct {
	Service  string        `yaml:"service" validate:"required"`
	Team     string        `yaml:"team" validate:"required"`
	Class    fleet.Class   `yaml:"class"`
	Work     time.Duration `yaml:"work" validate:"gt=0"` // mean processing time; times are distributed exponentially
	Timeout  time.Duration `yaml:"timeout" validate:"gt=0"`
	Flood    bool          `yaml:"flood"` // overload; left out of the replay that the others are compared with
	Segments []Segment     `yaml:"segments" validate:"required,dive"`
}
