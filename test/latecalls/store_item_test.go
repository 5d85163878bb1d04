package latecalls

// storeItem is a key of the store, or the event of its deletion.
type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value"` // base64
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}
