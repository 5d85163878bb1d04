package scheduler

// RosterWorker is a worker on which an owner's tasks may run. The names of its fields
// are stored.
type RosterWorker struct {
	ID      string
	Machine string   // the machine that it runs on; empty: not known
	Down    bool     // it does not answer or drains, and no task was started there since
	Tasks   []TaskID // set only if Down: tasks that may run there or whose ends are not saved
}
