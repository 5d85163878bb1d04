package api

// PutResponse tells the revision of a write, which is the key's new version.
type PutResponse struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}
