package api

// Changes is the response to a watch: the events after the requested revision,
// in the order of their revisions, and the revision for the next watch.
type Changes struct {
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events"`
}
