package main

import "persimmonbay/internal/configreview"

// jobConfigReport is the result of the check of a configuration.
type jobConfigReport struct {
	Findings    []configreview.Finding    `json:"findings"`
	Differences []configreview.Difference `json:"differences"`
}
