package api

// Listing is all keys under a prefix at one revision, ordered by key.
type Listing struct {
	Revision uint64     `json:"revision"`
	Items    []KeyValue `json:"items"`
}
