package scheduler

// WorkerInfo is what the platform lists of a worker.
type WorkerInfo struct {
	ID          string
	Service     string
	Address     string
	Zone        string
	Rack        string // empty: not known
	Machine     string // the machine that the worker runs on; empty: not known
	Capacity    Resources
	Labels      []string
	Draining    bool
	Incarnation int64 // start of its process, Unix time in milliseconds; 0: not known
}

// HasLabel reports whether the worker has the label.
func (w *WorkerInfo) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
