package admission

import (
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
)

// Shares holds the weights of the classes and teams. The map must not be
// changed once the value is in use.
type Shares struct {
	Classes [fleet.ClassCount]float64
	Teams   map[string]float64
}

// SharesOf returns the weights in a generated configuration. Classes and teams
// that it does not name have weight 1.
func SharesOf(c *configuration.Configuration) Shares {
	s := Shares{Teams: make(map[string]float64, len(c.Teams))}
	for _, share := range c.Classes {
		s.Classes[share.Class] = float64(share.Weight)
	}
	for i := range c.Teams {
		s.Teams[c.Teams[i].Name] = float64(c.Teams[i].Weight)
	}
	return s
}

func (s *Shares) class(c fleet.Class) float64 { return positive(s.Classes[c]) }

func (s *Shares) team(name string) float64 { return positive(s.Teams[name]) }

func positive(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
