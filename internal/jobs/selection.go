package jobs

import (
	"slices"

	"persimmonbay/internal/placement"
)

// Selection names jobs. An empty field selects all.
type Selection struct {
	IDs  []string
	Team string
	Name string
}

// Covers reports whether s selects j.
func (s Selection) Covers(j *placement.Job) bool {
	return (len(s.IDs) == 0 || slices.Contains(s.IDs, j.ID)) && (s.Team == "" || s.Team == j.Team) && (s.Name == "" || s.Name == j.Name)
}
