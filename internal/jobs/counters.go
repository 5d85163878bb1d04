package jobs

// Counters tell what a Controller has done since its entry started.
type Counters struct {
	Steps        uint64   `json:"steps"`
	Writes       uint64   `json:"writes"`       // of shards, taken or not
	Conflicts    uint64   `json:"conflicts"`    // writes that came second
	Starts       uint64   `json:"starts"`       // written down
	Preemptions  uint64   `json:"preemptions"`  // written down
	WastedStarts uint64   `json:"wastedStarts"` // starts whose task failed
	Orders       uint64   `json:"orders"`       // calls to the platform that change tasks
	Reports      uint64   `json:"reports"`      // calls to the platform that read tasks
	Queued       int      `json:"queued"`       // now, as the next three
	Placed       int      `json:"placed"`
	Ended        int      `json:"ended"` // and still kept
	Quarantined  []string `json:"quarantined"`
}
