package scheduler

import (
	"maps"
	"time"
)

// tickets holds the tickets that the advice service granted to a stage, by worker, and
// whom it refused. A task of the stage may start only on a worker with a ticket. The
// service's decision for a step and a worker does not change, so a worker that was refused is
// not named again before all others that may be named were refused as well: then a new round of
// calls begins. The pool's lock guards it.
type tickets struct {
	byWorker   map[string]string // also once they are no longer valid, until others are granted
	refusals   map[string]refusal
	round      int  // how often all workers had been refused
	misses     int  // calls of this round that granted none
	refused    bool // a worker was refused in this round
	empty      int  // rounds since the last one in which a worker was granted
	nextRound  time.Time
	validUntil time.Time
	requested  bool
}

// valid reports whether there are tickets that may be used at now.
func (t *tickets) valid(now time.Time) bool { return len(t.byWorker) > 0 && now.Before(t.validUntil) }

// excludes reports whether a call need not name the worker: this incarnation was refused in
// the present round.
func (t *tickets) excludes(w *worker) bool {
	r, named := t.refusals[w.info.ID]
	return named && r.round == t.round && r.incarnation == w.info.Incarnation
}

// roundDue reports whether a new round begins at now, as no worker is left to be named.
func (t *tickets) roundDue(now time.Time) bool {
	if !t.refused {
		return false
	}
	if t.nextRound.IsZero() {
		t.nextRound = now.Add(t.roundPause())
	}
	return !now.Before(t.nextRound)
}

// refusedWorkers returns the number of workers that were refused in the present round.
func (t *tickets) refusedWorkers() int64 {
	n := int64(0)
	for _, r := range t.refusals {
		if r.round == t.round {
			n++
		}
	}
	return n
}

// beginRound begins a new round, in which each worker may be named again.
func (t *tickets) beginRound() {
	t.round++
	t.empty++
	t.misses, t.refused, t.nextRound = 0, false, time.Time{}
}

// roundPause returns the wait after the last call of a round. It doubles with each round
// that granted none: a step that no worker may run must not keep the service from others.
func (t *tickets) roundPause() time.Duration {
	return min(adviceRetryDelay<<min(t.empty, maxRoundDoublings), maxRoundPause)
}

const (
	// maxEagerRounds is the number of rounds without a grant after which a stage calls only
	// while the service has nothing to do: all workers that stay, and the offered ones too.
	maxEagerRounds    = 1
	maxRoundPause     = 8 * time.Second
	maxRoundDoublings = 4 // until the pause is longer than maxRoundPause
)

// apply applies an answer to a call that named the given workers.
func (t *tickets) apply(named []*worker, r *AdviceReply, policy *AdvicePolicy, now time.Time) {
	if t.refusals == nil {
		t.refusals = make(map[string]refusal)
	}
	for _, w := range named {
		if r.Granted[w.info.ID] == "" {
			t.refusals[w.info.ID] = refusal{incarnation: w.info.Incarnation, round: t.round}
			t.refused = true
		} else {
			delete(t.refusals, w.info.ID)
		}
	}
	if len(r.Granted) == 0 {
		t.misses++
		t.nextRound = now.Add(t.roundPause())
		return
	}
	t.empty, t.nextRound = 0, time.Time{}
	validFor := r.ValidFor
	if validFor <= 0 {
		validFor = policy.TicketValidity
	}
	until := r.SentAt.Add(validFor)
	if t.valid(now) { // more workers were asked for, as those with tickets have no room
		t.byWorker = maps.Clone(t.byWorker)
		maps.Copy(t.byWorker, r.Granted)
		if until.Before(t.validUntil) {
			t.validUntil = until
		}
		return
	}
	t.byWorker, t.validUntil = r.Granted, until
}
