package api

// PutRequest asks to write one key.
type PutRequest struct {
	Value     []byte  `json:"value"`
	IfVersion *uint64 `json:"ifVersion,omitempty"` // 0: must not exist; absent: any
	Lease     string  `json:"lease,omitempty"`
}
