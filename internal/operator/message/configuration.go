package message

import "persimmonbay/internal/configuration"

// Configuration is the configuration in force on the entry that responds.
type Configuration struct {
	Version configuration.Version `json:"version"`
	Source  []byte                `json:"source"` // YAML
}
