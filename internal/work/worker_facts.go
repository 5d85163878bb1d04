package work

// WorkerFacts is what the platform tells of a worker.
type WorkerFacts struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Rack     string // empty: not told
	Machine  string // the machine the worker is one life of; empty: not told
	Capacity Resources
	Labels   []string
	Draining bool
	Born     int64 // Unix time of its start, in milliseconds; 0: not told
}

// HasLabel reports whether the worker carries label.
func (f *WorkerFacts) HasLabel(label string) bool {
	for _, l := range f.Labels {
		if l == label {
			return true
		}
	}
	return false
}
