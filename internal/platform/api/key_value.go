package api

// KeyValue is one key of the store.
type KeyValue struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`           // base64 on the wire
	Version uint64 `json:"version"`         // the revision of its last write
	Lease   string `json:"lease,omitempty"` // the key goes when this lease lapses
}
