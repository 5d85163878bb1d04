package api

// Event is a write or deletion of a key as a watch returns it.
type Event struct {
	Revision uint64    `json:"revision"`
	Type     EventType `json:"type"`
	Key      string    `json:"key"`
	Value    []byte    `json:"value,omitempty"`
	Version  uint64    `json:"version"`
	Lease    string    `json:"lease,omitempty"`
}
