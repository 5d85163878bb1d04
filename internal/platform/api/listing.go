package api

// Listing has all keys under a prefix at one revision, sorted by key.
type Listing struct {
	Revision uint64     `json:"revision"`
	Items    []KeyValue `json:"items"`
}
