package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// staleMachineOrder cuts the machine that holds the duty over machines off from the
// platform while its order is on the way. Another one takes the duty over and orders the
// same machine. When the cut ends, the first order arrives after all.
func staleMachineOrder(trouble bool) {
	w := newWorld()
	c := &cloud{world: w}
	for i := range 9 {
		pool := "recall"
		if i < 3 {
			pool = "booking"
		}
		c.add(fmt.Sprint("m-", i), pool, fmt.Sprint("rack-", i/4))
	}
	w.store.put("op/config", object{
		"version": 1, "routes": []any{route("checks", "/checks/", "booking"), route("notices", "/notices/", "recall")},
		"services": []any{service("booking"), service("recall")},
	})
	var entries []*entry
	var once sync.Once
	for i := range 3 {
		e := w.newEntry(fmt.Sprint("edge-", i), c)
		e.cloud.watch = func(data []byte) {
			if trouble && time.Since(began) > 10*time.Second && bytes.Contains(data, []byte("POST /-/machine-move")) {
				once.Do(func() {
					note("an order of %s to a machine is on the way", e.name)
					e.setCut(true)
					time.AfterFunc(cutFor, func() { e.setCut(false) })
				})
			}
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(time.Until(began.Add(10 * time.Second))) // traffic starts 10 s after the machines
	w.submit(entries, "/checks/5c0e7a21d94b36f8", step(16, 16000, 1000))
	time.Sleep(time.Until(began.Add(18 * time.Second)))
	w.submit(entries, "/notices/a1b2c3d4e5f60718", step(60, 16000, 1500))
	time.Sleep(time.Until(began.Add(10*time.Second + cutFor + 8*time.Second)))
	c.mu.Lock()
	orders := len(c.orders)
	c.mu.Unlock()
	if orders == 0 {
		cannotRun("no machine was ordered")
	}
	stale, earlier, found := c.staleOrder()
	if found {
		finish(true, "ONE: machine %s had an order of %s with token %d, and %.1f s later one of %s with the lower token %d (%s)",
			stale.machine, earlier.holder, earlier.token, stale.at.Sub(earlier.at).Seconds(), stale.holder, stale.token, stale.what)
	}
	finish(false, "ONE: %d orders, none with a lower token after a higher one", orders)
}

// cutFor is how long a machine is cut off: the longest node_cut of the site.
const cutFor = 12 * time.Second
