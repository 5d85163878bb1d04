package main

import (
	"fmt"
	"time"
)

// twoOwners has the platform's store turn the owner of a pool away and take its keys, just
// after it has renewed its lease. Another entry takes the pool over and fences all runners.
// Then one of them starts again under its id, and knows no fencing token. A job that is due
// soon after must run once.
func twoOwners(trouble bool) {
	w := newWorld()
	runners := map[string]*runner{}
	for i := range 8 {
		id := fmt.Sprint("i-", i)
		runners[id] = w.addRunner(id, "booking", fmt.Sprint("m-", i), fmt.Sprint("rack-", i/4), "", 32000)
	}
	w.store.put("op/config", object{"version": 1, "routes": []any{route("checks", "/checks/", "booking")}, "services": []any{service("booking")}})
	var entries []*entry
	for i := range 3 {
		entries = append(entries, w.newEntry(fmt.Sprint("edge-", i), nil))
	}
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(time.Until(began.Add(10 * time.Second))) // traffic starts 10 s after the machines
	owner := w.store.owner("booking")
	note("%s owns the pool", owner)
	due := time.Now().Add(4 * time.Second)
	job := "5c0e7a21d94b36f8"
	w.submitBody(entries, "/checks/"+job, object{
		"spec": "3000", "phases": []any{step(1, 4000, 3000)}, "start_at_ms": due.UnixMilli(), "repeat_count": 1, "interval_ms": 10000,
	})
	if trouble {
		time.Sleep(time.Until(due.Add(-1750 * time.Millisecond)))
		renewed := make(chan bool, 1)
		w.store.onRenewal(func(entry string) {
			if entry == owner {
				select {
				case renewed <- true:
				default:
				}
			}
		})
		<-renewed
		w.store.turnAway(owner)
		note("the store answers nothing to %s, and has taken its keys, %.2f s before the job is due", owner, time.Until(due).Seconds())
		time.Sleep(time.Until(due.Add(-700 * time.Millisecond)))
		note("%s owns the pool", w.store.owner("booking"))
		old := runners["i-5"]
		old.crash()
		note("i-5 has crashed")
		time.Sleep(time.Until(due.Add(-450 * time.Millisecond)))
		again := w.newRunner(old.id, old.service, old.machine, old.rack, old.address, old.cpu)
		note("i-5 has started again under its id; it writes its entry with its first heartbeat")
		time.AfterFunc(heartbeat*time.Millisecond, func() {
			again.register("ready")
			note("i-5 has written its entry")
		})
	}
	time.Sleep(time.Until(due.Add(9 * time.Second)))
	starts := w.startsOf(job)
	if len(starts) == 0 {
		cannotRun("the job has not run")
	}
	for _, s := range starts[1:] {
		if after := s.at.Sub(starts[0].at); after < 2900*time.Millisecond {
			finish(true, "TWICE: %s runs on %s (token %d) and, %.2f s later, on %s (token %d); a run takes 3 s",
				s.task, starts[0].runner, starts[0].token, after.Seconds(), s.runner, s.token)
		}
	}
	finish(false, "TWICE: %d starts, none while another run went on", len(starts))
}
