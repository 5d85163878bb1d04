package jobs

import (
	"slices"

	"persimmonbay/internal/placement"
)

// Selection selects jobs by ID, team and name. An empty field matches all.
type Selection struct {
	IDs  []string
	Team string
	Name string
}

// Matches reports whether s selects j.
func (s Selection) Matches(j *placement.Job) bool {
	return (len(s.IDs) == 0 || slices.Contains(s.IDs, j.ID)) && (s.Team == "" || s.Team == j.Team) && (s.Name == "" || s.Name == j.Name)
}
