package trace

import (
	"time"

	"persimmonbay/internal/configuration"
)

// Trace is a recorded load on a fleet. Arrivals within a segment follow from
// the seed, so every replay sees the same.
type Trace struct {
	Name     string        `yaml:"name" validate:"required"`
	Answers  string        `yaml:"answers" validate:"required"` // questionnaire, relative to the trace's file
	Seed     uint64        `yaml:"seed"`
	Entries  int           `yaml:"entries" validate:"gt=0,lte=1000"`
	Duration time.Duration `yaml:"duration" validate:"gt=0"`
	Balance  []float64     `yaml:"balance"` // each entry's part of the load; empty: even
	Streams  []Stream      `yaml:"streams" validate:"required,dive"`
	Events   []Event       `yaml:"events" validate:"dive"`

	Questionnaire configuration.Questionnaire `yaml:"-" validate:"-"`
	Outcomes      Outcomes                    `yaml:"-" validate:"-"`
}
