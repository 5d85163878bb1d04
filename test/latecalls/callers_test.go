package latecalls

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	queueHost   = "booking.example"
	queuePrefix = "/checks/"
)

// Load of a play: its mean is below the capacity of the workers that are not cut off.
const (
	callerPause    = 300 * time.Millisecond // between two jobs
	callerPatience = 2 * time.Second
	callerTries    = 6
	shortShare     = 0.6 // of tasks
	mostTasks      = 2   // of a job
)

// Run times of tasks.
const (
	minShortTask = 300 * time.Millisecond
	maxShortTask = time.Second
	minLongTask  = 6 * time.Second
	maxLongTask  = 12 * time.Second
)

// callers hand jobs in at random entries.
type callers struct {
	entries []*entry
	record  *record
	random  *rand.Rand
	stop    chan struct{}
	wait    sync.WaitGroup
}

func configuration() fields {
	return fields{
		"version": 1,
		"routes": []fields{{
			"name": "checks", "host": queueHost, "prefix": queuePrefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": pool,
			"max_attempts": 4, "stretch_factor": 1.6,
		}},
		"services": []fields{{"name": pool, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
	}
}

// jobBody returns a job of one step, whose tasks take the given time.
func jobBody(tasks int, took time.Duration) []byte {
	step := fields{"count": tasks, "cpu": taskCPU, "mem_mb": taskMemory, "estimate_ms": took.Milliseconds()}
	return encode(fields{"spec": strconv.FormatInt(took.Milliseconds(), 10), "phases": []fields{step}})
}

// run hands jobs in until stop is closed.
func (c *callers) run() {
	defer c.wait.Done()
	tick := time.NewTicker(callerPause)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-tick.C:
		}
		id := fmt.Sprintf("%016x", c.random.Uint64())
		spread, shortest := maxLongTask-minLongTask, minLongTask
		if c.random.Float64() < shortShare {
			spread, shortest = maxShortTask-minShortTask, minShortTask
		}
		took := shortest + time.Duration(c.random.Int64N(int64(spread)))
		body := jobBody(1+c.random.IntN(mostTasks), took)
		first := c.random.IntN(len(c.entries))
		c.wait.Add(1)
		go c.submit(id, body, first)
	}
}

// submit hands a job in, at the next entry after each try without success.
func (c *callers) submit(id string, body []byte, first int) {
	defer c.wait.Done()
	for try := range callerTries {
		e := c.entries[(first+try)%len(c.entries)]
		status := e.post(queuePrefix+id, body, callerPatience)
		if status == http.StatusOK {
			return
		}
		c.record.note("job %s at %s: status %d", id, e.name, status)
		select {
		case <-c.stop:
			return
		case <-time.After(callerPause):
		}
	}
}
