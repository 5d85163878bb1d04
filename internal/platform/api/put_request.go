package api

// PutRequest requests the write of one key.
type PutRequest struct {
	Value     []byte  `json:"value"`
	IfVersion *uint64 `json:"ifVersion,omitempty"` // required current version; 0: the key must not exist; absent: any
	Lease     string  `json:"lease,omitempty"`
}
