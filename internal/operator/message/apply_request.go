package message

import "persimmonbay/internal/configuration"

// ApplyRequest is the request to replace the configuration.
type ApplyRequest struct {
	Operator string                `json:"operator"`
	Base     configuration.Version `json:"base"`   // the version that it replaces; 0: none yet
	Source   []byte                `json:"source"` // YAML
}
