package poolmanager

import "time"

const (
	// pollCost is about the processor time that one poll takes, as measured on the bench.
	pollCost = 140 * time.Microsecond
	// maxPollShare is the part of this entry's processor that the polls of idle workers
	// may take.
	maxPollShare = 0.1
	// maxPollWait bounds the wait of a poll on a small entry with a large pool.
	maxPollWait = time.Second
)

// pollWait returns for how long a worker may hold a poll open: PollWait, or longer where
// the polls of all workers would take more than maxPollShare of this entry's processor.
func (o *poolOwnership) pollWait() time.Duration {
	if o.weight <= 0 {
		return o.timing.PollWait
	}
	o.mu.Lock()
	workers := len(o.pollers)
	o.mu.Unlock()
	affordable := time.Duration(float64(workers) * float64(pollCost) / (maxPollShare * o.weight))
	return min(max(o.timing.PollWait, affordable), max(o.timing.PollWait, maxPollWait))
}
