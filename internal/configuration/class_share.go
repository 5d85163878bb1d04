package configuration

import "persimmonbay/internal/fleet"

// ClassShare is the share of the fleet that is guaranteed to one class.
type ClassShare struct {
	Class  fleet.Class `yaml:"class"`
	Weight int         `yaml:"weight" validate:"gt=0"` // relative to the other classes' weights
}
