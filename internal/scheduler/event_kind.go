package scheduler

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events. The fields that are set follow the colon.
const (
	WorkerFenced              EventKind = iota // a worker answered this owner for the first time: Worker, Incarnation
	NewIncarnationAnswered                     // a later incarnation answered a poll: Worker, Number, Incarnation of the later one, FormerIncarnation
	NewIncarnationListed                       // the platform lists a later incarnation: Worker, Number, Incarnation of the later one, FormerIncarnation
	OtherIncarnationAtAddress                  // another incarnation answers at the worker's address: Worker
	MachineReassigned                          // by the platform's list of machines, the machine runs another worker or none: Worker
	MachineRestarted                           // a worker that started later on the same machine is known: Worker
	ClockBehind                                // the answer to an order shows a clock that is behind, as after a restart: Worker, Task, Attempt, Number
	UnknownEnd                                 // a worker reported the end of a run whose job the pool does not have: Worker, Task, Attempt, Number
	UnknownRun                                 // a worker reported a run whose job the pool does not have: Worker, Task, Attempt
	RunTakenOver                               // a listed run of a former owner is taken over: Worker, Incarnation, Task, Attempt, LeaseEndsAt
	RunNotNeeded                               // a listed run that this owner did not order is not needed: as RunTakenOver
	RunGivenUp                                 // a run is released without a reported end: as RunTakenOver, Outcome, OrderedAt, AnsweredAt, ReportedAt
	FormerRunsGivenUp                          // a worker that may run tasks of a former owner has not listed them all, and their leases are over: Worker, Outcome, LeaseEndsAt
	PlaceAwaited                               // a task that has room on Worker waits for a place in its rack: Worker, Task, Place
	PlaceWon                                   // it got one: Worker, Task
	PlaceGivenUp                               // it starts on Worker instead, away from its rack: Worker, Task, Place
	AdviceRefused                              // the advice service granted none of the workers that may be named for a step: Task without its index, Number of workers
	StartedElsewhere                           // a task is ordered to start after a run on another worker or incarnation: Worker, Incarnation, Task, Attempt, Former
)

var eventNames = [...]string{
	"worker fenced", "another life answered", "later life listed", "another life at the address", "machine taken", "machine restarted",
	"clock of a later life", "end of an unknown job", "run of an unknown job",
	"run of a former owner taken over", "run not ordered by this owner is to be stopped", "run given up without its end",
	"worker that may run tasks of a former owner given up", "task waits for a place in its rack", "task got a place in its rack",
	"task starts away from its rack after a wait", "advice service grants no worker for a step", "task starts again after a run elsewhere",
}

// AboutRun reports whether such events are about runs. Their number grows with load.
func (k EventKind) AboutRun() bool { return k >= RunTakenOver }

// String returns the text of the kind in the logs. Operators match these texts.
func (k EventKind) String() string { return eventNames[k] }
