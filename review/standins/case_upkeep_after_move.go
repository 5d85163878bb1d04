package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// upkeepAfterMove has machines moved from one pool to another, where tasks that last begin
// to work on them. A wave that names these machines comes soon after the move.
func upkeepAfterMove(trouble bool) {
	w := newWorld()
	c := &cloud{world: w}
	for i := range 8 {
		pool := "recall"
		if i < 2 {
			pool = "booking"
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
	serving := step(4, 16000, 90000)
	serving["long_running"], serving["anti_affinity"], serving["may_miss"] = true, 1, 1
	job := "5c0e7a21d94b36f8"
	w.submit(entries, "/checks/"+job, serving)
	moved := func() []any {
		c.mu.Lock()
		defer c.mu.Unlock()
		var machines []any
		for _, m := range c.machines {
			if m.state == "up" && !m.movedAt.IsZero() && m.runner != nil && len(m.runner.atWork()) > 0 {
				machines = append(machines, m.id)
			}
		}
		return machines
	}
	for until := time.Now().Add(10 * time.Second); len(moved()) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			cannotRun("no two machines were moved to where tasks wait: %v", moved())
		}
	}
	time.Sleep(time.Second)        // the tasks are at work
	if os.Getenv("LATER") == "1" { // the same wave, when the move is long over
		time.Sleep(10 * time.Second)
	}
	if machines := moved(); trouble {
		note("wave 1 is due: %v", machines)
		w.store.put("op/wave/1", object{"wave": 1, "machines": machines, "duration_s": 25, "cap": 2})
	}
	time.Sleep(6 * time.Second)
	c.mu.Lock()
	ended := append([]string(nil), c.ended...)
	c.mu.Unlock()
	if len(ended) > 1 {
		finish(true, "AVAIL: upkeep ended %s, which were at work at the same time; 1 of their step may be away", strings.Join(ended, ", "))
	}
	finish(false, "AVAIL: upkeep ended %d tasks that were at work", len(ended))
}
