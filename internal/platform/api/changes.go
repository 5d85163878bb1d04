package api

// Changes is the answer to a watch: the events after the revision asked for,
// in order, and the revision to watch from next.
type Changes struct {
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events"`
}
