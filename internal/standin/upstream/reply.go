package upstream

// Reply is the body of a response.
type Reply struct {
	Instance  string `json:"instance"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	RequestID string `json:"requestId"`
	Body      string `json:"body,omitempty"`
	Execution int    `json:"execution,omitempty"` // number of this execution under the key; the first is 1
	Padding   string `json:"padding,omitempty"`
}
