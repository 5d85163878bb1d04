package message

import "persimmonbay/internal/maintenance"

// WaveRequest asks to start a wave.
type WaveRequest struct {
	Operator string               `json:"operator"`
	Pools    []string             `json:"pools"`    // empty: all
	Strategy maintenance.Strategy `json:"strategy"` // empty: spread
	AtOnce   int                  `json:"atOnce"`   // 0: the default
}
