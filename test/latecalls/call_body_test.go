package latecalls

// callBody is the body of a call to a worker. Each path uses some of its fields.
type callBody struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"` // run time in milliseconds
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Observed int64  `json:"observed"`
	Wait     int64  `json:"wait_ms"`
}
