package scheduler

// awaitedWorker is a worker that may run tasks of a former owner, or have their ends to
// list: it has not answered a poll of this owner yet, or more ends stand in replies to come.
type awaitedWorker struct {
	machine    string // the machine that it runs on; empty: not known
	tasksKnown bool   // only the tasks in tasks may run there; false: any task may
	tasks      map[TaskID]bool
}

// mayRun reports whether the task may run there.
func (a *awaitedWorker) mayRun(id TaskID) bool { return !a.tasksKnown || a.tasks[id] }

func newAwaitedWorker(w *RosterWorker) *awaitedWorker {
	a := &awaitedWorker{machine: w.Machine, tasksKnown: w.Down, tasks: make(map[TaskID]bool, len(w.Tasks))}
	for _, t := range w.Tasks {
		a.tasks[t] = true
	}
	return a
}
