package scheduler

// RosterWorker is a worker on which an owner's tasks may run.
type RosterWorker struct {
	ID      string
	Machine string   // the machine that it runs on; empty: not told
	Down    bool     // it did not answer, and nothing was started there since
	Tasks   []TaskID // that may run there, or whose ends are not saved yet, if it is down
}
