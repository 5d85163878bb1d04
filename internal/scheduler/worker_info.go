package scheduler

// WorkerInfo is what the platform tells of a worker.
type WorkerInfo struct {
	ID          string
	Service     string
	Address     string
	Zone        string
	Rack        string // empty: not told
	Machine     string // the machine that the worker runs on; empty: not told
	Capacity    Resources
	Labels      []string
	Draining    bool
	Incarnation int64 // Unix time of its start, in milliseconds; 0: not told
}

// HasLabel reports whether the worker carries label.
func (f *WorkerInfo) HasLabel(label string) bool {
	for _, l := range f.Labels {
		if l == label {
			return true
		}
	}
	return false
}
