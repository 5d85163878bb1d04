package message

import "persimmonbay/internal/configuration"

// ApplyResponse names the accepted version.
type ApplyResponse struct {
	Version configuration.Version `json:"version"`
}
