package work

// EventKind tells what happened.
type EventKind uint8

// The kinds.
const (
	WorkerFenced     EventKind = iota // a worker answered this owner for the first time: Worker, Born
	LifeSeen                          // another life answered a look: Worker, Number, Born of the later one
	LifeListed                        // the platform lists a later life: Worker, Number, Born of the later one
	LifeElsewhere                     // another life answers at the worker's address: Worker
	MachineTaken                      // the worker's machine runs another life, or none, by the list of machines: Worker
	MachineRestarted                  // a later life on the worker's machine is known: Worker
	ClockBehind                       // an order's answer shows the clock of a later life: Worker, Task, Attempt, Number
	UnknownEnd                        // an end names a job that the pool does not have: Worker, Task, Attempt, Number
	UnknownRun                        // a run names a job that the pool does not have: Worker, Task, Attempt
)

var eventNames = [...]string{
	"worker fenced", "another life answered", "later life listed", "another life at the address", "machine taken", "machine restarted",
	"clock of a later life", "end of an unknown job", "run of an unknown job",
}

// String returns the kind's name in logs.
func (k EventKind) String() string { return eventNames[k] }
