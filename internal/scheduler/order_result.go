package scheduler

// OrderResult is the result of an order or a poll that was sent to a worker.
type OrderResult uint8

// The results of an order.
const (
	Accepted             OrderResult = iota
	NoResponse                       // no answer: the order may have been carried out, or may still be
	NotReached                       // the order never left this process
	Fenced                           // the worker has seen a higher fencing token
	Outdated                         // the same or a later attempt of the task has ended there
	TooLate                          // the deadline has passed on the worker's clock
	InsufficientCapacity             // the worker's free capacity does not suffice
	NoTicket                         // the ticket is missing or no longer valid
	OtherIncarnation                 // another incarnation answers at the address
	Unhealthy                        // the worker accepts no tasks at present
	Malformed                        // the worker cannot decode the order
	Withdrawn                        // the order was not sent, as it was not wanted any more
	Restarted                        // the order was not sent: the worker has restarted under its ID since it was decided
	Superseded                       // the worker has seen a higher fencing token of the same owner
)

var orderResultNames = [...]string{"accepted", "unanswered", "not-reached", "fenced", "outdated", "too-late", "no-room", "no-ticket", "other-life", "unhealthy", "malformed", "withdrawn", "restarted", "superseded"}

// String returns the name of the result in the logs.
func (r OrderResult) String() string { return orderResultNames[r] }
