package api

// Event is one write as a watch reports it.
type Event struct {
	Revision uint64    `json:"revision"`
	Type     EventType `json:"type"`
	Key      string    `json:"key"`
	Value    []byte    `json:"value,omitempty"`
	Version  uint64    `json:"version"`
	Lease    string    `json:"lease,omitempty"`
}
