package scheduler

// OrderResult is a worker's word on an order.
type OrderResult uint8

// The answers.
const (
	Accepted         OrderResult = iota
	Unanswered                   // the order may have been carried out, or may be later
	NotReached                   // the order never left this process
	Fenced                       // a higher fencing token was seen there
	Outdated                     // the same or a later attempt ended there
	TooLate                      // the deadline has passed on the worker's clock
	NoRoom                       // the worker's capacity does not suffice
	NoTicket                     // the ticket is missing or no longer valid
	OtherIncarnation             // another worker answers at the address
	Unhealthy                    // the worker takes nothing for now
	Malformed                    // the worker does not understand the order
)

var orderResultNames = [...]string{"accepted", "unanswered", "not-reached", "fenced", "outdated", "too-late", "no-room", "no-ticket", "other-life", "unhealthy", "malformed"}

// String returns the answer's name in logs.
func (a OrderResult) String() string { return orderResultNames[a] }
