package upstream

// Execution counts the executions of requests with one Idempotency-Key.
type Execution struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}
