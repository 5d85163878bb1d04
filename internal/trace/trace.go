package trace

import (
	"time"

	"persimmonbay/internal/configuration"
)

// Trace is a recorded load on a fleet. The arrival times within a segment are
// derived from the seed, so each replay has the same ones.
type Trace struct {
	Name         string        `yaml:"name" validate:"required"`
	Answers      string        `yaml:"answers" validate:"required"` // path of the questionnaire, relative to the trace's file
	Seed         uint64        `yaml:"seed"`
	Entries      int           `yaml:"entries" validate:"gt=0,lte=1000"`
	Duration     time.Duration `yaml:"duration" validate:"gt=0"`
	EntryWeights []float64     `yaml:"balance"` // each entry's part of the load; empty: equal parts
	Streams      []Stream      `yaml:"streams" validate:"required,dive"`
	Events       []Event       `yaml:"events" validate:"dive"`

	Questionnaire configuration.Questionnaire `yaml:"-" validate:"-"`
	Outcomes      ExpectedOutcomes            `yaml:"-" validate:"-"`
}
