package configreview

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    string   `json:"place"` // the entry, such as "queues[3]"
	Text     string   `json:"text"`  // one line; names are quoted and shortened
}
