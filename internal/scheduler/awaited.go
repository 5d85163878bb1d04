package scheduler

// awaited is a worker that may hold tasks of an earlier owner and has not
// answered yet.
type awaited struct {
	machine string // that it runs on; empty: not told
	known   bool   // only the tasks listed may run there
	tasks   map[TaskID]bool
}

// mayHold reports whether the task may run there.
func (a *awaited) mayHold(id TaskID) bool { return !a.known || a.tasks[id] }

func newAwaited(w *RosterWorker) *awaited {
	a := &awaited{machine: w.Machine, known: w.Down, tasks: make(map[TaskID]bool, len(w.Tasks))}
	for _, t := range w.Tasks {
		a.tasks[t] = true
	}
	return a
}
