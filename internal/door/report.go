package door

import "time"

// Report is what the owner of a pool says of the work ahead. Amounts are in core-seconds of
// tasks that have not been started, without long-running ones.
type Report struct {
	At     time.Time // when it was made, on the clock of the entry that uses it
	Cores  float64   // of the workers in service, and of the machines that the pool has asked for
	Within float64   // waiting work of jobs within their teams' weights
	Spent  []Spent   // teams that have sent all that their weights allow
	Paces  []Pace    // of the queues whose durations are known
}

// spent returns the entry of the team, if it has sent all that its weight allows.
func (r *Report) spent(team string) (Spent, bool) {
	for _, s := range r.Spent {
		if s.Team == team && team != "" {
			return s, true
		}
	}
	return Spent{}, false
}

// pace returns the pace of the queue, if it is known.
func (r *Report) pace(queue string) (Pace, bool) {
	for _, p := range r.Paces {
		if p.Queue == queue {
			return p, true
		}
	}
	return Pace{}, false
}
