package configuration

import "persimmonbay/internal/fleet"

// ClassShare is the guaranteed share of one class.
type ClassShare struct {
	Class  fleet.Class `yaml:"class"`
	Weight int         `yaml:"weight" validate:"gt=0"` // against the other classes' weights
}
