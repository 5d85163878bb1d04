package api

// KeyValue is a key of the store with its value.
type KeyValue struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`           // base64 in JSON
	Version uint64 `json:"version"`         // revision of its last write
	Lease   string `json:"lease,omitempty"` // the key is deleted when this lease expires
}
