package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// planHeldStage starts what it can of the stage for which workers are kept free, before
// all others. Once some of it has started, no worker is kept free for it any longer.
func (p *Pool) planHeldStage(now time.Time, plan *Plan) {
	p.updateHold(now)
	s := p.hold.stage
	if s == nil {
		return
	}
	since := s.noRoomSince
	p.planStage(s, now, plan)
	if s.noRoomSince != since {
		p.hold = roomHold{}
	}
}

// updateHold decides which workers are kept free, and for which stage: the one that has
// waited longest, for more than holdPatience, while at most half of the pool's capacity is
// in use. In a fuller pool tasks start where there is room, whichever wait.
func (p *Pool) updateHold(now time.Time) {
	if p.fullerThanHalf() {
		p.hold = roomHold{}
		return
	}
	if p.hold.stands(now) {
		return
	}
	p.hold = roomHold{}
	for _, s := range p.waitingStages {
		waits := !s.noRoomSince.IsZero() && now.Sub(s.noRoomSince) >= holdPatience && !s.job.progress.State.Final() && s.waitingTasks(now) > 0
		if waits && (p.hold.stage == nil || s.noRoomSince.Before(p.hold.stage.noRoomSince)) {
			p.hold.stage = s
		}
	}
	if p.hold.stage != nil {
		p.hold.workers = p.workersToKeep(p.hold.stage, now)
	}
}

// workersToKeep returns the workers that will have room for the waiting tasks of a gang,
// or for one task of another stage, once the short tasks there have ended; those come
// first that have most room now. It returns nil if there are not enough.
func (p *Pool) workersToKeep(s *stage, now time.Time) map[*worker]bool {
	n := 1
	if s.step.Gang {
		n = s.waitingTasks(now)
	}
	candidates := slices.Clone(p.startCandidates.workers)
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().MilliCPU, a.free().MilliCPU), compareIDs(a, b))
	})
	later := room{pool: p, free: make(map[*worker]Resources)}
	kept := make(map[*worker]bool)
	for _, w := range candidates {
		later.free[w] = w.freeOfShortRuns()
	}
	if later.takeFrom(candidates, s, n, func(w *worker) { kept[w] = true }) > 0 {
		return nil
	}
	return kept
}

// freeOfShortRuns returns the capacity that is free once all runs have ended that are not
// long-running.
func (w *worker) freeOfShortRuns() Resources {
	free := w.info.Capacity
	for _, r := range w.runs {
		if r.stage == nil || r.stage.step.LongRunning {
			free = free.Minus(r.reserved)
		}
	}
	return free
}

// fullerThanHalf reports whether more than half of the pool's capacity is in use, in the
// resource of which most is.
func (p *Pool) fullerThanHalf() bool {
	var used, capacity Resources
	for _, w := range p.workers {
		if w.inService() {
			used, capacity = used.Plus(w.used), capacity.Plus(w.info.Capacity)
		}
	}
	return used.share(capacity) > holdMaxUse
}

const (
	// holdMaxUse is the share of the pool's capacity in use up to which workers are kept
	// free: the users' bound on a job with nothing running holds up to there.
	holdMaxUse = 0.5
	// holdPatience is how long a stage waits before workers are kept free for it: well below
	// that bound (3 s), as short tasks have to end first.
	holdPatience = time.Second
)
