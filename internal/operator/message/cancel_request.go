package message

// CancelRequest is the request to cancel the jobs that match all selecting
// fields that are set: IDs, Team and Name.
type CancelRequest struct {
	Operator string   `json:"operator"`
	IDs      []string `json:"ids,omitempty"`
	Team     string   `json:"team,omitempty"`
	Name     string   `json:"name,omitempty"`
}
