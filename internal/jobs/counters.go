package jobs

// Counters count the work of a Controller since its entry started.
type Counters struct {
	Steps        uint64   `json:"steps"`
	Writes       uint64   `json:"writes"`       // of shards, successful or not
	Conflicts    uint64   `json:"conflicts"`    // writes that failed because another change came first
	Starts       uint64   `json:"starts"`       // stored
	Preemptions  uint64   `json:"preemptions"`  // stored
	WastedStarts uint64   `json:"wastedStarts"` // starts whose task failed
	Orders       uint64   `json:"orders"`       // calls to the platform that change tasks
	Reports      uint64   `json:"reports"`      // calls to the platform that read tasks
	Queued       int      `json:"queued"`       // current value, as are the next three
	Placed       int      `json:"placed"`
	Ended        int      `json:"ended"` // and still stored
	Quarantined  []string `json:"quarantined"`
}
