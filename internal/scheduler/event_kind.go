package scheduler

// EventKind tells what happened.
type EventKind uint8

// The kinds.
const (
	WorkerFenced              EventKind = iota // a worker answered this owner for the first time: Worker, Incarnation
	NewIncarnationAnswered                     // another incarnation answered a poll: Worker, Number, Incarnation of the later one
	NewIncarnationListed                       // the platform lists a later incarnation: Worker, Number, Incarnation of the later one
	OtherIncarnationAtAddress                  // another incarnation answers at the worker's address: Worker
	MachineReassigned                          // the worker's machine runs another incarnation, or none, by the list of machines: Worker
	MachineRestarted                           // a later incarnation on the worker's machine is known: Worker
	ClockBehind                                // an order's answer shows the clock of a later incarnation: Worker, Task, Attempt, Number
	UnknownEnd                                 // an end names a job that the pool does not have: Worker, Task, Attempt, Number
	UnknownRun                                 // a run names a job that the pool does not have: Worker, Task, Attempt
)

var eventNames = [...]string{
	"worker fenced", "another life answered", "later life listed", "another life at the address", "machine taken", "machine restarted",
	"clock of a later life", "end of an unknown job", "run of an unknown job",
}

// String returns the kind's name in logs.
func (k EventKind) String() string { return eventNames[k] }
