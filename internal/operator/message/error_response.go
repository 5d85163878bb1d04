package message

import "persimmonbay/internal/problem"

// ErrorResponse is the body of every response with an error status.
type ErrorResponse struct {
	Kind     string            `json:"kind"`
	Step     string            `json:"step"`
	Peer     string            `json:"peer,omitempty"`
	Error    string            `json:"error"`              // what happened and what to do next
	Findings []problem.Finding `json:"findings,omitempty"` // the faults of a document
}
