package upstream

// Execution is how often the work under one Idempotency-Key was done.
type Execution struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}
