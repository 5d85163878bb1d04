package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"persimmonbay/internal/scheduler"
)

// saveLoop saves progress as poolmanager's poolOwnership does: urgent changes at once,
// others after they have been gathered for a while.
func (o *overlapOwner) saveLoop() {
	pending, urgent := o.pool.SavePending()
	switch {
	case !pending:
		o.gatherUntil = time.Time{}
		o.after(5*time.Millisecond, o.saveLoop)
		return
	case !urgent && o.gatherUntil.IsZero():
		o.gatherUntil = o.s.now.Add(80 * time.Millisecond)
	}
	if !urgent && o.s.now.Before(o.gatherUntil) {
		o.after(5*time.Millisecond, o.saveLoop)
		return
	}
	o.gatherUntil = time.Time{}
	o.save(func(ok bool) {
		pause := 50 * time.Millisecond
		if ok {
			pause = 20 * time.Millisecond
		}
		o.after(pause, o.saveLoop)
	})
}

func (o *overlapOwner) save(then func(ok bool)) {
	items, _ := o.pool.ClaimUnsaved(7)
	if len(items) == 0 {
		then(true)
		return
	}
	o.s.write(o, func() (func(), bool) {
		revision, ok := o.s.store.saveProgress(o.token, items)
		for i := range items {
			o.s.log(items[i].Job, scheduler.TaskID{}, "", "store: progress of owner %d, %v removed %v: saved %v at %d", o.token, items[i].Progress, items[i].Remove, ok, revision)
		}
		if ok {
			return func() {
				o.saved(items, revision)
				then(true)
			}, true
		}
		owner := o.s.store.owner
		current := map[string]overlapJob{}
		for i := range items {
			current[items[i].Job] = *o.s.store.jobs[items[i].Job]
		}
		return func() {
			o.settleConflict(items, owner, current)
			then(false)
		}, true
	}, func() {
		o.pool.SaveFailed(items)
		then(false)
	})
}

// settleConflict finds out which condition of a write was not met, as poolmanager's
// settleConflict does.
func (o *overlapOwner) settleConflict(items []scheduler.SaveItem, owner int64, current map[string]overlapJob) {
	if owner != o.token {
		o.pool.SaveFailed(items)
		o.end("the store names another owner")
		return
	}
	for i := range items {
		j := current[items[i].Job]
		switch {
		case j.revision == items[i].Revision:
			o.pool.SaveFailed(items[i : i+1])
		case encoded(j.progress) == encoded(items[i].Progress):
			o.saved(items[i:i+1], j.revision)
		default:
			o.pool.SaveFailed(items[i : i+1])
			o.pool.SaveConflicted(items[i].Job, j.revision, j.progress)
		}
	}
	o.kickPlan()
}

func (o *overlapOwner) rosterLoop() {
	o.saveRoster()
	o.after(250*time.Millisecond, o.rosterLoop)
}

// saveRoster saves the roster, with one write at a time.
func (o *overlapOwner) saveRoster() {
	if o.writingRoster {
		o.rosterChanged = true
		return
	}
	o.writeRoster(func(bool) {
		if o.rosterChanged {
			o.rosterChanged = false
			o.saveRoster()
		}
	})
}

// writeRoster writes the roster unless the store has the same one. It tries again while
// only the roster's revision is outdated.
func (o *overlapOwner) writeRoster(then func(ok bool)) {
	roster := o.pool.Roster(o.s.now)
	value := fmt.Sprint(roster)
	if value == o.savedRoster {
		o.pool.RosterSaved(roster)
		then(true)
		return
	}
	o.writingRoster = true
	expected := o.rosterRevision
	o.s.write(o, func() (func(), bool) {
		ok := o.s.store.saveRoster(o.token, expected, roster, false)
		o.trace("roster %+v saved %v", roster, ok)
		isOwner, current := o.s.store.owner == o.token, o.s.store.rosterRevision
		return func() {
			o.writingRoster = false
			if isOwner {
				o.rosterRevision = current
			}
			if isOwner && !ok {
				o.writeRoster(then)
				return
			}
			if ok {
				o.savedRoster = value
				o.pool.RosterSaved(roster)
				o.kickPlan()
			} else {
				o.savedRoster = ""
			}
			then(ok)
		}, ok
	}, func() {
		o.writingRoster = false
		o.savedRoster = ""
		then(false)
	})
}

// release releases the pool as poolmanager's poolOwnership does.
func (o *overlapOwner) release() {
	o.releasing = true
	o.trace("is releasing the pool")
	o.releaseBy(o.s.now.Add(1500 * time.Millisecond))
}

// releaseBy releases the pool once no order is in transit and all progress is saved, or
// at the deadline.
func (o *overlapOwner) releaseBy(deadline time.Time) {
	pending, _ := o.pool.SavePending()
	if (o.ordersInTransit > 0 || pending || !o.loaded) && o.s.now.Before(deadline) {
		o.after(5*time.Millisecond, func() { o.releaseBy(deadline) })
		return
	}
	o.end("released")
	o.clearOwnership()
}

// clearOwnership saves the last roster and ends the ownership with the same write.
func (o *overlapOwner) clearOwnership() {
	roster := o.pool.Roster(o.s.now)
	roster.Released = true
	expected := o.rosterRevision
	o.s.write(o, func() (func(), bool) {
		ok := o.s.store.saveRoster(o.token, expected, roster, true)
		o.trace("released roster %+v saved %v", roster, ok)
		if ok {
			o.s.acquireVacant()
		}
		isOwner, current := o.s.store.owner == o.token, o.s.store.rosterRevision
		return func() {
			if isOwner && !ok {
				o.rosterRevision = current
				o.clearOwnership()
			}
		}, ok
	}, func() { o.s.clearOwner(o.token) })
}

// saved passes the pool a saved batch and wakes the pollers that wait for that.
func (o *overlapOwner) saved(items []scheduler.SaveItem, revision int64) {
	workers := o.pool.Saved(items, revision)
	slices.Sort(workers)
	for _, worker := range workers {
		o.kick(worker)
	}
}
