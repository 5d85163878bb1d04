package scheduler

import "time"

// AdviceReply is the outcome of an advice request. Without an answer, because the service
// refused the call or did not respond in time, all fields but SentAt are zero.
type AdviceReply struct {
	SentAt   time.Time // when the call was sent, on this process's monotonic clock
	Answered bool
	Granted  map[string]string // tickets by worker
	ValidFor time.Duration     // how long the tickets are valid; 0: as long as the queue's policy states
}
