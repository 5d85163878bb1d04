package message

// SubmitRequest asks to queue jobs.
type SubmitRequest struct {
	Operator string    `json:"operator"`
	Jobs     []JobSpec `json:"jobs"`
}
