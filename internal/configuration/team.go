package configuration

import "persimmonbay/internal/fleet"

// Team is the configuration of one customer of the fleet.
type Team struct {
	Name     string      `yaml:"name" validate:"required,label"`
	TopClass fleet.Class `yaml:"topClass"`               // most urgent class of its requests
	Weight   int         `yaml:"weight" validate:"gt=0"` // guaranteed share, relative to the other teams' weights
}
