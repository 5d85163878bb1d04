package main

import (
	"fmt"
	"time"
)

const (
	downFor = 6100 * time.Millisecond // platform_down: the longest of the site for the whole store
	finishS = 14 * time.Second        // bounds.finish_s
)

// lateGang has a job handed in whose second step is a gang. The platform's store is down
// for a few seconds when the turn of the gang comes. Long after that, the gang still has
// nothing running.
func lateGang(trouble bool) {
	const members, each = 11, 16000
	w := newWorld()
	c := &cloud{world: w}
	for i := range 16 {
		pool := "booking"
		if i >= 12 {
			pool = "recall"
		}
		c.add(fmt.Sprint("m-", i), pool, fmt.Sprint("rack-", i/4))
	}
	w.store.put("op/config", object{
		"version": 1, "routes": []any{route("checks", "/checks/", "booking"), route("notices", "/notices/", "recall")},
		"services": []any{service("booking"), service("recall")},
	})
	var entries []*entry
	for i := range 3 {
		entries = append(entries, w.newEntry(fmt.Sprint("edge-", i), c))
	}
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(time.Until(began.Add(10 * time.Second))) // traffic starts 10 s after the machines
	job := "5c0e7a21d94b36f8"
	w.gangs[job+".0.1"] = members
	w.setNeed(job+".0.1", each)
	gang := step(members, each, 500)
	gang["gang"], gang["after"] = true, []any{0}
	w.submit(entries, "/checks/"+job, step(2, 1000, 500), gang)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		w.store.setDown(true)
		note("the platform's store is down")
		time.Sleep(downFor)
		w.store.setDown(false)
		note("the platform's store is back")
	}
	time.Sleep(finishS)
	gangStarts := func() int {
		n := 0
		for _, s := range w.startsOf(job) {
			if stepOf(s.task) == job+".0.1" {
				n++
			}
		}
		return n
	}
	waited := 3500 * time.Millisecond
	if trouble {
		waited = 20 * time.Second
	}
	for idle := time.Now(); time.Since(idle) < waited; time.Sleep(50 * time.Millisecond) {
		if gangStarts() > 0 {
			finish(false, "LOST: the gang has begun")
		}
	}
	use, capacity, runners := int64(0), int64(0), 0
	for _, k := range w.ofService("booking") {
		use, capacity, runners = use+k.inUse(), capacity+k.cpu, runners+1
	}
	state := "unknown"
	for _, e := range entries {
		if status, answer := e.call("GET", "/checks/"+job, nil, 3*time.Second, 3*time.Second); status == 200 {
			state, _ = answer["state"].(string)
		}
	}
	if 2*members*each > capacity || use*2 >= capacity {
		finish(false, "LOST: %d of %d in use on %d runners, so the gang may wait (state %s)", use, capacity, runners, state)
	}
	finish(true, "LOST: %.0f s after the store is back the job has nothing running (state %s); %d of %d thousandths of a core are in use on the service's %d runners, the gang needs %d",
		(finishS + waited).Seconds(), state, use, capacity, runners, members*each)
}
