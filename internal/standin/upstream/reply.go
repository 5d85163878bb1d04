package upstream

// Reply is the body of an ordinary answer.
type Reply struct {
	Instance  string `json:"instance"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	RequestID string `json:"requestId"`
	Body      string `json:"body,omitempty"`
	Execution int    `json:"execution,omitempty"` // which execution of this key it was; 1 is the first
	Padding   string `json:"padding,omitempty"`
}
