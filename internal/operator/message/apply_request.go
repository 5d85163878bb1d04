package message

import "persimmonbay/internal/configuration"

// ApplyRequest asks to replace the configuration.
type ApplyRequest struct {
	Operator string                `json:"operator"`
	Base     configuration.Version `json:"base"`   // the version it was made from; 0: none yet
	Source   []byte                `json:"source"` // YAML
}
