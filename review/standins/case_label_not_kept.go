package main

import (
	"fmt"
	"time"
)

// scaleOutFor is the time in which runners are added: gap_s of the site's scale_out.
const scaleOutFor = 2 * time.Second

// labelNotKept has empty runners added to a pool. A job comes later that needs a label
// which only runners have that were there before.
func labelNotKept(trouble bool) {
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
	for i := range 3 {
		if trouble {
			c.mu.Lock()
			c.add(fmt.Sprint("m-", 16+i), "booking", "rack-4")
			c.mu.Unlock()
			note("an empty runner is added")
		}
		time.Sleep(scaleOutFor / 3)
	}
	time.Sleep(5 * time.Second)
	job := "5c0e7a21d94b36f8"
	needs := step(2, 4000, 500)
	needs["requirements"] = "rack-1"
	w.submit(entries, "/checks/"+job, needs)
	for from := time.Now(); time.Since(from) < finishS+4*time.Second; time.Sleep(50 * time.Millisecond) {
		if len(w.startsOf(job)) > 0 {
			finish(false, "LOST: the job has begun")
		}
	}
	able, capacity, use := 0, int64(0), int64(0)
	for _, k := range w.ofService("booking") {
		use += k.inUse()
		if k.rack == "rack-1" {
			able, capacity = able+1, capacity+k.cpu
		}
	}
	state := "unknown"
	for _, e := range entries {
		if status, answer := e.call("GET", "/checks/"+job, nil, 3*time.Second, 3*time.Second); status == 200 {
			state, _ = answer["state"].(string)
		}
	}
	if capacity < 2*2*4000 || use > 0 {
		finish(false, "LOST: no room (%d runners could run it)", able)
	}
	finish(true, "LOST: %.0f s after it was handed in the job has nothing running (state %s); %d idle runners of its service with %d thousandths of a core could run it, it needs %d",
		(finishS + 4*time.Second).Seconds(), state, able, capacity, 2*4000)
}
