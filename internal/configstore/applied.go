package configstore

import (
	"time"

	"persimmonbay/internal/configuration"
)

// Applied tells who applied a version and when.
type Applied struct {
	Version  configuration.Version `json:"version"`
	Base     configuration.Version `json:"base"`
	Operator string                `json:"operator"`
	Applied  time.Time             `json:"applied"`
}
