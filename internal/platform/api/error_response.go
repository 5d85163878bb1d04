package api

// ErrorResponse is the body of every response whose status is not 2xx.
type ErrorResponse struct {
	Error   string `json:"error"`
	Version uint64 `json:"version,omitempty"` // current version of the key, with status 409
}
