package message

import "persimmonbay/internal/configuration"

// ApplyResponse is the response to an accepted ApplyRequest.
type ApplyResponse struct {
	Version configuration.Version `json:"version"`
}
