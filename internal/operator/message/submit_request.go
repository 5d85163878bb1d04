package message

// SubmitRequest is the request to queue jobs.
type SubmitRequest struct {
	Operator string    `json:"operator"`
	Jobs     []JobSpec `json:"jobs"`
}
