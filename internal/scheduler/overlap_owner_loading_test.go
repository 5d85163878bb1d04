package scheduler_test

import (
	"slices"
	"time"
)

const (
	maxSlowLoad         = 8 * time.Second // longer than the leases of runs
	loadingPollInterval = time.Second     // as in poolmanager's pollers
)

// loadSlowly polls the workers while the jobs are being read, as poolmanager's load does.
func (o *overlapOwner) loadSlowly(now time.Time) {
	o.pool.BeginLoad()
	o.after(o.s.between(1, 20), o.readList)
	var read func()
	read = func() { o.loadJobs(now, read) }
	o.after(o.s.between(0, int(maxSlowLoad/time.Millisecond)), read)
}

// endLoad has the next reply of each worker applied in full.
func (o *overlapOwner) endLoad() {
	o.pool.EndLoad()
	var workers []string
	for id := range o.pollers {
		workers = append(workers, id)
	}
	slices.Sort(workers)
	for _, id := range workers {
		o.kick(id)
	}
}

// pauseLoading has the poller continue after loadingPollInterval or a kick.
func (o *overlapOwner) pauseLoading(p *overlapPoller) {
	p.idle = true
	o.after(loadingPollInterval, func() {
		if p.idle {
			p.idle = false
			o.continuePolling(p)
		}
	})
}
