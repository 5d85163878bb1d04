package work

import "time"

// Look is a worker's answer about what runs there.
type Look struct {
	Worker      string
	SentAt      time.Time // steady clock of this process
	ReceivedAt  time.Time
	Observed    int64 // the ends up to this number were forgotten by it
	Incarnation int64 // Unix time of the worker's start, in milliseconds
	Clock       int64 // the worker's own clock, in milliseconds
	Running     []RunRow
	Ends        []EndRow
	Partial     bool // there may be more ends than are listed
}
