package message

import "persimmonbay/internal/maintenance"

// WaveRequest is the request to start a maintenance wave.
type WaveRequest struct {
	Operator string               `json:"operator"`
	Pools    []string             `json:"pools"`    // empty: all
	Strategy maintenance.Strategy `json:"strategy"` // empty: spread
	MaxDown  int                  `json:"atOnce"`   // most instances out of service for the wave at a time; 0: the default
}
