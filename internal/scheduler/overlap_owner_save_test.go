package scheduler_test

import (
	"fmt"
	"time"

	"persimmonbay/internal/scheduler"
)

// saveLoop keeps progress as poolmanager's poolOwnership does.
func (o *overlapOwner) saveLoop() {
	pending, urgent := o.pool.SavePending()
	switch {
	case !pending:
		o.gather = time.Time{}
		o.after(5*time.Millisecond, o.saveLoop)
		return
	case !urgent && o.gather.IsZero():
		o.gather = o.s.now.Add(80 * time.Millisecond)
	}
	if !urgent && o.s.now.Before(o.gather) {
		o.after(5*time.Millisecond, o.saveLoop)
		return
	}
	o.gather = time.Time{}
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
		revision, ok := o.s.store.keep(o.token, items)
		for i := range items {
			o.s.note(items[i].Job, scheduler.TaskID{}, "", "store: progress of owner %d, %v removed %v: kept %v at %d", o.token, items[i].Progress, items[i].Remove, ok, revision)
		}
		if ok {
			return func() {
				o.pool.Saved(items, revision)
				o.kickAll()
				then(true)
			}, true
		}
		owner := o.s.store.owner
		current := map[string]overlapJob{}
		for i := range items {
			current[items[i].Job] = *o.s.store.jobs[items[i].Job]
		}
		return func() {
			o.settle(items, owner, current)
			then(false)
		}, true
	}, func() {
		o.pool.SaveFailed(items)
		then(false)
	})
}

// settle finds out which condition did not hold, after poolmanager's settleConflict.
func (o *overlapOwner) settle(items []scheduler.SaveItem, owner int64, current map[string]overlapJob) {
	if owner != o.token {
		o.pool.SaveFailed(items)
		o.lose("the store names another owner")
		return
	}
	for i := range items {
		j := current[items[i].Job]
		switch {
		case j.revision == items[i].Revision:
			o.pool.SaveFailed(items[i : i+1])
		case text(j.progress) == text(items[i].Progress):
			o.pool.Saved(items[i:i+1], j.revision)
			o.kickAll()
		default:
			o.pool.SaveFailed(items[i : i+1])
			o.pool.SaveConflicted(items[i].Job, j.revision, j.progress)
		}
	}
	o.kickPlan()
}

func (o *overlapOwner) rosterLoop() {
	o.roster()
	o.after(250*time.Millisecond, o.rosterLoop)
}

// roster keeps the roster, one write at a time.
func (o *overlapOwner) roster() {
	if o.writing {
		o.again = true
		return
	}
	o.writeRoster(func(bool) {
		if o.again {
			o.again = false
			o.roster()
		}
	})
}

func (o *overlapOwner) writeRoster(then func(ok bool)) {
	roster := o.pool.Roster(o.s.now)
	value := fmt.Sprint(roster)
	if value == o.saved {
		o.pool.RosterSaved(roster)
		then(true)
		return
	}
	o.writing = true
	expected := o.rostRev
	o.s.write(o, func() (func(), bool) {
		ok := o.s.store.keepRoster(o.token, expected, roster, false)
		o.trace("roster %+v kept %v", roster, ok)
		named, current := o.s.store.owner == o.token, o.s.store.rosterRevision
		return func() {
			o.writing = false
			if named {
				o.rostRev = current
			}
			if named && !ok {
				o.writeRoster(then)
				return
			}
			if ok {
				o.saved = value
				o.pool.RosterSaved(roster)
				o.kickPlan()
			} else {
				o.saved = ""
			}
			then(ok)
		}, ok
	}, func() {
		o.writing = false
		o.saved = ""
		then(false)
	})
}

// release hands the pool over, after poolmanager's poolOwnership.
func (o *overlapOwner) release() {
	o.leaving = true
	o.trace("is leaving")
	o.releaseBy(o.s.now.Add(1500 * time.Millisecond))
}

func (o *overlapOwner) releaseBy(deadline time.Time) {
	pending, _ := o.pool.SavePending()
	if (o.flying > 0 || pending || !o.loaded) && o.s.now.Before(deadline) {
		o.after(5*time.Millisecond, func() { o.releaseBy(deadline) })
		return
	}
	o.lose("released")
	o.giveAway()
}

// giveAway keeps the last roster and gives the ownership away with it.
func (o *overlapOwner) giveAway() {
	roster := o.pool.Roster(o.s.now)
	roster.Released = true
	expected := o.rostRev
	o.s.write(o, func() (func(), bool) {
		ok := o.s.store.keepRoster(o.token, expected, roster, true)
		o.trace("released roster %+v kept %v", roster, ok)
		if ok {
			o.s.vacant()
		}
		named, current := o.s.store.owner == o.token, o.s.store.rosterRevision
		return func() {
			if named && !ok {
				o.rostRev = current
				o.giveAway()
			}
		}, ok
	}, func() { o.s.revoke(o.token) })
}
