package configstore

import (
	"time"

	"persimmonbay/internal/configuration"
)

// AppliedVersion describes an accepted version: its operator, its time and the
// version that it replaced.
type AppliedVersion struct {
	Version  configuration.Version `json:"version"`
	Base     configuration.Version `json:"base"`
	Operator string                `json:"operator"`
	Applied  time.Time             `json:"applied"`
}
