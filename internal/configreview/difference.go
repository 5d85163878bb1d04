package configreview

// Difference is an entry that differs between two configurations.
type Difference struct {
	Kind  Kind   `json:"kind"`
	Place string `json:"place"`          // such as `queue "batch"`; the name is quoted and shortened
	Text  string `json:"text,omitempty"` // the changed fields, separated by commas; empty unless the entry changed
}
