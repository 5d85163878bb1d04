package message

// ErrorResponse is the body of every answer that is no success.
type ErrorResponse struct {
	Kind  string `json:"kind"`
	Step  string `json:"step"`
	Peer  string `json:"peer,omitempty"`
	Error string `json:"error"`
}
