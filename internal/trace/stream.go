package trace

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Stream is the requests of one team and class to one service.
type Stream struct {
	Service  string        `yaml:"service" validate:"required"`
	Team     string        `yaml:"team" validate:"required"`
	Class    fleet.Class   `yaml:"class"`
	Work     time.Duration `yaml:"work" validate:"gt=0"` // mean, exponentially distributed
	Timeout  time.Duration `yaml:"timeout" validate:"gt=0"`
	Flood    bool          `yaml:"flood"` // left out of the run that the others are held against
	Segments []Segment     `yaml:"segments" validate:"required,dive"`
}
