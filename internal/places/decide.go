package places

import "time"

// MaxWait is the longest time for which a task waits for a place, whatever it gains.
const MaxWait = 2 * time.Second

// unsure is the factor by which the expected wait counts where run times are estimates of
// submitters, which may be wrong by several times.
const unsure = 2

// Decide returns whether to wait. Its inputs may be wrong: the whole wait is bounded by the
// gain, and by MaxWait.
func Decide(q *Question) Answer {
	gain := time.Duration(float64(q.Far-q.Near) * (1 - float64(q.Pressure)))
	bound := min(gain, MaxWait)
	next := q.Ahead + q.Places - 1
	switch {
	case q.Lasting:
		return Answer{Reason: Lasts}
	case gain <= 0:
		return Answer{Reason: NoGain}
	case q.Waited >= bound:
		return Answer{Reason: TooLong}
	case q.Places < 1 || next >= len(q.Free):
		return Answer{Reason: NoPlace}
	}
	wait := q.Free[next]
	if wait <= 0 {
		return Answer{Reason: NoPlace} // it is free, and the task may not take it
	}
	cost := wait
	if !q.Learned {
		cost *= unsure
	}
	switch {
	case q.Waited+cost >= bound:
		return Answer{Reason: NoGain}
	case !q.Hopeless && q.Left < q.Far+bound-q.Waited && q.Left >= q.Far:
		return Answer{Reason: NearLimit} // elsewhere it is in time, also if a wait is not
	}
	return Answer{Wait: true, For: wait, Reason: Gains}
}
