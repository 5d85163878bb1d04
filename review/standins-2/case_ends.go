package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	manyService = "wuno96b"
	manyQueue   = "/defi252/"
	manyTasks   = 1000 // of 30 thousandths of a core: they fit on one runner of 32 cores
	manyWork    = 1500 * time.Millisecond
	manyJobs    = 3
	killedFor   = 3500 * time.Millisecond
)

func manyConfiguration(version int64) object {
	return object{
		"version": version,
		"routes": list{object{
			"name": "r-snmgkcu", "host": host, "prefix": manyQueue, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 1,
			"service": manyService, "max_attempts": 4, "stretch_factor": 1.6,
		}},
		"services": list{object{"name": manyService, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
		"limits":   object{"max_body_bytes": 262144},
	}
}

// manyEnds hands jobs of many small tasks in, and kills the process that owns their pool
// while they run. Their ends wait on the runners for the next owner, more than one reply
// holds.
func manyEnds(folder string) {
	w := newWorld(folder)
	f := newFloor(w)
	c := newCloud(f)
	w.cloudAddress, _ = serve(c.handler())
	for i := range 3 {
		c.add(fmt.Sprintf("m-%04x", i), manyService, "a", "r1-0", amounts{32000, 131072, 0}, map[string]bool{manyService: true})
	}
	w.store.put("op/config", manyConfiguration(3))
	w.startEntries(3)
	var jobs []*jobInfo
	for range manyJobs {
		j := &jobInfo{id: newID(), spec: "check", prefix: manyQueue, service: manyService, maxFailures: 4}
		j.steps = []stepInfo{{count: manyTasks, need: amounts{30, 100, 0}, work: manyWork}}
		jobs = append(jobs, j)
		f.submit(j)
	}
	all := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.starts
	}
	for end := time.Now().Add(20 * time.Second); all() < manyJobs*manyTasks && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	note("%d of %d tasks have started", all(), manyJobs*manyTasks)
	if trouble {
		time.Sleep(200 * time.Millisecond) // the owner saves that the jobs have begun
		e := w.lastWriter()
		e.signal(syscall.SIGKILL)
		<-e.exited
		time.AfterFunc(killedFor, e.start)
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		over := true
		for _, j := range jobs {
			over = f.look(j) == "completed" && over
		}
		if over {
			break
		}
	}
	time.Sleep(5 * time.Second)
	f.settle()
	f.mu.Lock()
	broken := f.broken["TWICE"]
	f.mu.Unlock()
	verdict("TWICE", broken)
}
