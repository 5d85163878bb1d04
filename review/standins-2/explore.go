package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Services and queues of the mixed load.
var (
	queueNames = []string{"/guarded/", "/open/", "/advised/"}
	services   = map[string]string{"/guarded/": "guarded", "/open/": "open", "/advised/": "guarded"}
)

func mixedConfiguration(version int64) object {
	routes := list{}
	for i, p := range queueNames {
		o := object{
			"name": fmt.Sprintf("r-%d", i), "host": host, "prefix": p, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600, "priority": i,
			"service": services[p], "max_attempts": 4, "stretch_factor": 1.6,
		}
		if p == "/advised/" {
			o["advice"] = object{"decide_ms": 50, "period_ms": 5, "valid_ms": ticketTime.Milliseconds()}
		}
		routes = append(routes, o)
	}
	pools := list{}
	for _, s := range []string{"guarded", "open", "spare"} {
		pools = append(pools, object{"name": s, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": s != "open", "standby": s == "spare"})
	}
	return object{"version": version, "routes": routes, "services": pools, "limits": object{"max_body_bytes": 262144}}
}

func mixedWorld(folder string) (*world, *floor, *cloud) {
	w := newWorld(folder)
	f := newFloor(w)
	c := newCloud(f)
	c.standby["spare"] = true
	w.cloudAddress, _ = serve(c.handler())
	w.advised = f
	guards := map[string]bool{"guarded": true, "open": false}
	kinds := []string{"a", "a", "b"}
	for i := range 6 {
		c.add(fmt.Sprintf("m-g%d", i), "guarded", kinds[i%3], fmt.Sprintf("r-%d", i%2), amounts{8000, 16000, 0}, guards)
		c.add(fmt.Sprintf("m-o%d", i), "open", kinds[i%3], fmt.Sprintf("r-%d", i%2), amounts{8000, 16000, 0}, guards)
	}
	for i := range 4 {
		c.add(fmt.Sprintf("m-s%d", i), "spare", kinds[i%3], fmt.Sprintf("r-%d", i%2), amounts{8000, 16000, 0}, guards)
	}
	w.store.put("op/config", mixedConfiguration(3))
	w.startEntries(3)
	return w, f, c
}

// randomJob returns a job of a random shape.
func randomJob() *jobInfo {
	p := queueNames[rand.IntN(queues())]
	j := &jobInfo{id: newID(), spec: fmt.Sprintf("spec-%d", rand.IntN(1e9)), prefix: p, service: services[p], maxFailures: 4, advised: p == "/advised/"}
	step := func() stepInfo {
		return stepInfo{count: 1 + rand.IntN(5), need: amounts{cpu: 500 + rand.Int64N(2000), mem: 500 + rand.Int64N(2000)}, work: time.Duration(200+rand.IntN(1500)) * time.Millisecond, failShare: 0.03}
	}
	for i := range 1 + rand.IntN(2) {
		s := step()
		if i > 0 {
			s.after = []int{i - 1}
		}
		switch rand.IntN(6) {
		case 0, 1:
			s.gang, s.count = true, 2+rand.IntN(4)
			s.checkpointing = rand.IntN(2) == 0
		case 2:
			s.checkpointing, s.work = true, s.work+time.Second
		case 3:
			s.antiAffinity = 1
			s.count = min(s.count, 3)
		case 4:
			s.label = "b"
			s.count = min(s.count, 3)
		}
		j.steps = append(j.steps, s)
	}
	switch rand.IntN(8) {
	case 0:
		j.startAt, j.repeat, j.interval = time.Now().Add(time.Duration(rand.IntN(4000))*time.Millisecond), 1+rand.IntN(6), time.Duration(300+rand.IntN(2000))*time.Millisecond
	case 1:
		s := &j.steps[0]
		s.lasts, s.gang, s.checkpointing, s.mayMiss, s.failShare = true, false, rand.IntN(2) == 0, 1, 0.3
		j.steps = j.steps[:1]
	case 2:
		j.hopeless = rand.IntN(4) == 0
	}
	return j
}

// explore plays a mixed load under the disruption that the variable DISRUPTION names.
func explore(folder string) {
	w, f, c := mixedWorld(folder)
	kinds := strings.Split(os.Getenv("DISRUPTION"), ",")
	rate, _ := strconv.Atoi(os.Getenv("RATE"))
	rate = max(rate, 1)
	play := 50 * time.Second
	stop := time.Now().Add(play)
	go func() {
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond / time.Duration(rate))
			go func() {
				j := randomJob()
				if !f.submit(j) {
					return
				}
				if j.steps[0].lasts || rand.IntN(10) == 0 {
					time.Sleep(time.Duration(rand.IntN(8000)) * time.Millisecond)
					f.cancel(j)
					return
				}
				for time.Now().Before(stop.Add(14 * time.Second)) {
					time.Sleep(time.Second)
					switch f.look(j) {
					case "completed", "failed":
						return
					}
				}
			}()
		}
	}()
	for trouble && time.Now().Before(stop.Add(-3*time.Second)) {
		time.Sleep(time.Duration(2000+rand.IntN(3000)) * time.Millisecond)
		disrupt(w, f, c, kinds[rand.IntN(len(kinds))])
	}
	time.Sleep(time.Until(stop.Add(16 * time.Second)))
	f.settle()
	f.mu.Lock()
	for _, j := range f.jobs {
		if j.acceptedAt.IsZero() || j.cancelTried || j.steps[0].lasts {
			continue
		}
		last := j.due(max(j.repeat, 1) - 1)
		if j.shown != "completed" && j.shown != "failed" && time.Since(last) > 20*time.Second {
			f.broke("LOST", "%s%s is still %q: %+v", j.prefix, j.id, j.shown, j.steps)
		}
	}
	var rules []string
	for r, b := range f.broken {
		if r == "GANG" && trouble && os.Getenv("GANG") == "" {
			continue
		}
		rules = append(rules, fmt.Sprintf("%s: %d, %s", r, len(b), b[0]))
	}
	f.mu.Unlock()
	sort.Strings(rules)
	verdict("rules", rules)
}

var version = int64(3)

func disrupt(w *world, f *floor, c *cloud, kind string) {
	e := w.entries[rand.IntN(len(w.entries))]
	var r *runner
	f.mu.Lock()
	for _, x := range f.runners {
		if x.up && !x.draining && (r == nil || rand.IntN(4) == 0) {
			r = x
		}
	}
	f.mu.Unlock()
	note("disruption %s", kind)
	switch kind {
	case "kill":
		e.signal(syscall.SIGKILL)
		<-e.exited
		time.Sleep(500 * time.Millisecond)
		e.start()
	case "term":
		e.signal(syscall.SIGTERM)
		<-e.exited
		e.start()
	case "freeze":
		e.signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		e.signal(syscall.SIGCONT)
	case "cut":
		e.store.cut()
		time.Sleep(5 * time.Second)
		e.store.heal()
	case "crash":
		r.crash()
		time.Sleep(time.Second)
		c.restart(r.machine)
	case "runnercut":
		r.gate.cut()
		time.Sleep(5500 * time.Millisecond)
		r.gate.heal()
	case "late", "lost":
		set := func(fn func(string) string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, x := range f.runners {
				x.lose = fn
			}
		}
		set(func(string) string {
			if rand.Float64() < 0.3 {
				return kind
			}
			return ""
		})
		time.Sleep(5 * time.Second)
		set(nil)
	case "config":
		version += 3
		w.store.put("op/config", mixedConfiguration(version))
	case "new":
		f.mu.Lock()
		f.serial++
		id := fmt.Sprintf("m-x%d", f.serial)
		f.mu.Unlock()
		c.add(id, []string{"guarded", "open"}[rand.IntN(2)], "a", "r-0", amounts{8000, 16000, 0}, map[string]bool{"guarded": true})
	case "drain":
		r.leave()
	case "reborn":
		c.reborn(r)
	case "garbage":
		values := []any{"text", object{"service": r.service, "state": "ready"}, object{"service": 5, "address": list{}, "state": true}, object{"service": "nowhere", "address": r.address, "zone": "zone-1", "state": "lost", "born": "x"}, nil, list{1, 2}}
		for i, v := range values {
			w.store.put(fmt.Sprintf("servers/i-other%d", i), v)
			w.store.put("servers/"+r.id, v)
		}
	case "hup":
		for _, e := range w.entries {
			e.signal(syscall.SIGHUP)
		}
	case "powerall":
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL)
		}
		for _, e := range w.entries {
			<-e.exited
		}
		time.Sleep(time.Second)
		for _, e := range w.entries {
			e.start()
		}
		time.Sleep(3 * time.Second)
	case "storedown":
		for _, e := range w.entries {
			e.store.cut()
		}
		time.Sleep(4 * time.Second)
		for _, e := range w.entries {
			e.store.heal()
		}
	}
}

// queues returns how many of the queues get jobs: all, or those without advice.
func queues() int {
	if os.Getenv("ADVICE") == "0" {
		return len(queueNames) - 1
	}
	return len(queueNames)
}
