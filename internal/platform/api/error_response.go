package api

// ErrorResponse is the body of every answer that is no success.
type ErrorResponse struct {
	Error   string `json:"error"`
	Version uint64 `json:"version,omitempty"` // the key's current version, with 409
}
