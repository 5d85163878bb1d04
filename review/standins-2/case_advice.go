package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	advisedService = "huvo11a"
	advisedQueue   = "/puxa400/"
	advisedRunners = 8
	finishTime     = 14 * time.Second // finish_s
	idleTime       = 3 * time.Second
	outage         = 4500 * time.Millisecond
	outageAt       = 10 * time.Second
	advisedTraffic = 40 * time.Second
	advisedGap     = 150 * time.Millisecond
)

func advisedConfiguration(version int64) object {
	return object{
		"version": version,
		"routes": list{object{
			"name": "r-anu6wsj", "host": host, "prefix": advisedQueue, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0,
			"service": advisedService, "max_attempts": 4, "stretch_factor": 1.6,
			"advice": object{"decide_ms": decideTime.Milliseconds(), "period_ms": periodTime.Milliseconds(), "valid_ms": ticketTime.Milliseconds()},
		}},
		"services": list{object{"name": advisedService, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
		"limits":   object{"max_body_bytes": 262144},
	}
}

// adviceAfterOutage hands jobs of a queue with advice in at a steady rate, while the store
// is down once, and looks which of them have come to run after the traffic.
func adviceAfterOutage(folder string) {
	w := newWorld(folder)
	f := newFloor(w)
	c := newCloud(f)
	w.cloudAddress, _ = serve(c.handler())
	w.advised = f
	for i := range advisedRunners {
		c.add(fmt.Sprintf("m-%04x", i), advisedService, "a", fmt.Sprintf("r1-%d", i/4), amounts{8000, 16000, 0}, map[string]bool{advisedService: true})
	}
	w.store.put("op/config", advisedConfiguration(3))
	w.startEntries(3)
	end := time.Now().Add(advisedTraffic)
	go func() {
		time.Sleep(outageAt)
		if !trouble {
			return
		}
		note("the store is down")
		for _, e := range w.entries {
			e.store.cut()
		}
		time.Sleep(outage)
		for _, e := range w.entries {
			e.store.heal()
		}
		note("the store is back")
	}()
	for time.Now().Before(end) {
		j := &jobInfo{id: newID(), spec: "check", prefix: advisedQueue, service: advisedService, maxFailures: 4, advised: true}
		j.steps = []stepInfo{{count: 2, need: amounts{1000, 1000, 0}, work: 500 * time.Millisecond}}
		go f.submit(j)
		time.Sleep(advisedGap)
	}
	note("traffic ends")
	time.Sleep(finishTime)
	waits := map[string]time.Time{}
	var broken []string
	accepted, known := 0, 0
	for until := time.Now().Add(idleTime + time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		accepted, known = 0, 0
		var used, all amounts
		for _, r := range f.runners {
			used, all = used.plus(r.used()), all.plus(r.capacity)
		}
		for id, j := range f.jobs {
			if j.acceptedAt.IsZero() {
				continue
			}
			accepted++
			if f.stepDone(j, 0, 0) {
				known++
				delete(waits, id)
				continue
			}
			running := 0
			for _, t := range j.tasks {
				running += len(t.live)
			}
			switch {
			case running > 0 || 2*used.cpu >= all.cpu || all.cpu-used.cpu < 2*2*1000:
				delete(waits, id)
			case waits[id].IsZero():
				waits[id] = time.Now()
			}
		}
		f.mu.Unlock()
	}
	f.mu.Lock()
	for id, since := range waits {
		if time.Since(since) >= idleTime {
			j := f.jobs[id]
			broken = append(broken, fmt.Sprintf("%s, accepted %.1f s ago, has had nothing running for %.1f s on an idle service", id, time.Since(j.acceptedAt).Seconds(), time.Since(since).Seconds()))
		}
	}
	f.mu.Unlock()
	note("%d jobs accepted, %d done", accepted, known)
	for id := range waits { // a few answers for the record
		if accepted--; accepted < 0 {
			break
		}
		status, b := w.entries[0].call(http.MethodGet, host, advisedQueue+id, nil, 3*time.Second)
		note("GET %s: %d %s", id, status, b.text("state"))
	}
	f.settle()
	verdict("LOST", broken)
}
