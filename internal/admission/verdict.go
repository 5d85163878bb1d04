package admission

// Verdict is the answer to a ticket at the front.
type Verdict uint8

// The verdicts.
const (
	Queue    Verdict = iota // it waits
	Started                 // its turn has come at once
	TooLate                 // it cannot be answered before its deadline
	Full                    // its team's or class's part of the queue is full
	NoneLeft                // no instance is left to try
)
