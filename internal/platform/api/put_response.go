package api

// PutResponse has the revision of a write, which is also the key's new version.
type PutResponse struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}
