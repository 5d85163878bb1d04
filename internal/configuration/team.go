package configuration

import "persimmonbay/internal/fleet"

// Team is a customer of the fleet as configured.
type Team struct {
	Name     string      `yaml:"name" validate:"required,label"`
	TopClass fleet.Class `yaml:"topClass"`               // the most urgent class it may use
	Weight   int         `yaml:"weight" validate:"gt=0"` // its guaranteed share, against the other teams' weights
}
