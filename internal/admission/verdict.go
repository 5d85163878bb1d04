package admission

// Verdict is the decision on a new ticket.
type Verdict uint8

// The verdicts.
const (
	Queue          Verdict = iota // it waits in the queue
	Started                       // it starts without waiting
	TooLate                       // it cannot be answered before its deadline
	QueueFull                     // its team's or class's part of the queue is full
	NoInstanceLeft                // no instance is left to try
)
