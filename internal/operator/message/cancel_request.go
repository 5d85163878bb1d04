package message

// CancelRequest asks to cancel the jobs that all given fields select.
type CancelRequest struct {
	Operator string   `json:"operator"`
	IDs      []string `json:"ids,omitempty"`
	Team     string   `json:"team,omitempty"`
	Name     string   `json:"name,omitempty"`
}
