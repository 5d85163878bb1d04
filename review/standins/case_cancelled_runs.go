package main

import (
	"fmt"
	"math"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

const (
	lostShare  = 0.35                    // platform_lost, x: the site's largest
	lostFor    = 2 * time.Second         // the site's longest is 4.5 s
	leaveShare = 0.35                    // give_up, share: the site's largest
	leaveAfter = 300 * time.Millisecond  // give_up: half of target_latency_ms
	clientGap  = 25 * time.Millisecond   // between two clients
	cancelIn   = 3000 * time.Millisecond // bounds.cancel_ms
	contact    = 3000 * time.Millisecond // bounds.contact_ms
)

// cancelledRuns hands jobs in while answers of the store are lost. A share of the clients
// leaves early, and cancels its jobs at another entry. No task may start later than
// cancel_ms after that was acknowledged.
func cancelledRuns(trouble bool) {
	w := newWorld()
	for i := range 4 {
		w.addRunner(fmt.Sprint("i-", i), "booking", fmt.Sprint("m-", i), "rack-1", "", 32000)
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
	from := time.Now()
	luck := rand.New(rand.NewSource(35))
	var mu sync.Mutex
	if trouble {
		w.store.setHook(func(entry string, _ *request) (bool, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if time.Since(from) > lostFor || luck.Float64() >= lostShare {
				return false, 0
			}
			return true, time.Second + time.Duration(luck.Float64()*float64(5*time.Second)) // 1 to 6 s
		})
		note("from now on, for %v, %.2f of the store's writes are done late and not answered", lostFor, lostShare)
	}
	cancelled := map[string]time.Time{}
	var clients sync.WaitGroup
	for i := range int(lostFor / clientGap) {
		leaves := float64(i)*leaveShare-math.Floor(float64(i)*leaveShare) < leaveShare
		clients.Go(func() {
			time.Sleep(time.Until(from.Add(time.Duration(i) * clientGap)))
			path := fmt.Sprintf("/checks/5c0e7a21d94b%04x", i)
			job := object{"spec": "400", "phases": []any{step(2, 1000, 400)}}
			if !leaves {
				for try := range 5 {
					if status, _ := entries[(i+try)%3].call("POST", path, job, 3*time.Second, 3*time.Second); status == http.StatusOK {
						return
					}
				}
				return
			}
			entries[i%3].call("POST", path, job, 3*time.Second, leaveAfter)
			for try := 1; try <= 4; try++ {
				if status, _ := entries[(i+try)%3].call("DELETE", path, nil, 3*time.Second, 3*time.Second); status == http.StatusOK || status == http.StatusGone {
					mu.Lock()
					cancelled[path[len("/checks/"):]] = time.Now()
					mu.Unlock()
					return
				}
			}
		})
	}
	clients.Wait()
	time.Sleep(10 * time.Second)
	calm := from.Add(lostFor + contact)
	late, first := 0, ""
	for job, at := range cancelled {
		for _, s := range w.startsOf(job) {
			if after := s.at.Sub(at); after > cancelIn && s.at.After(calm) {
				late++
				first = fmt.Sprintf("%s started %.1f s after the cancelling of its job was acknowledged, %.1f s after the last lost answer", s.task, after.Seconds(), s.at.Sub(from.Add(lostFor)).Seconds())
				note("late: %s", first)
			}
		}
	}
	if len(cancelled) == 0 {
		cannotRun("no cancelling was acknowledged")
	}
	if late > 0 {
		finish(true, "UNASKED: %d tasks of cancelled jobs started later than cancel_ms; %s", late, first)
	}
	finish(false, "UNASKED: %d jobs cancelled, none of their tasks started later than cancel_ms", len(cancelled))
}
