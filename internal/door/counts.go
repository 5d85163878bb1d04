package door

// Counts are the totals of an entry's verdicts.
type Counts struct {
	Accepted uint64
	Refused  uint64
	ByCause  map[Cause]uint64
	ByAge    map[string]uint64 // verdicts that a report decided, by the range of its age
}
