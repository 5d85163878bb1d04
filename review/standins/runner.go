package main

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	gangWait  = 3 * time.Second // bounds.gang_ms
	maxHold   = 6000            // bounds.max_hold_ms
	heartbeat = 1500            // heartbeat_ms
)

// runner is a stand-in of one incarnation of a runner.
type runner struct {
	id, service, machine, rack string
	address                    string
	born                       time.Time
	cpu, memory                int64
	guards                     bool
	world                      *world
	server                     *http.Server

	mu       sync.Mutex
	over     bool
	token    int64
	deadline int64
	runs     map[string]*taskRun
	highest  map[string]int64 // by task: the highest attempt that was stopped or has ended
	finished []any
	ends     int64
	changed  chan struct{}
}

// newRunner starts a runner on a free address, or on the given one.
func (w *world) newRunner(id, service, machine, rack, address string, cpu int64) *runner {
	k := &runner{
		id: id, service: service, machine: machine, rack: rack, born: time.Now(), cpu: cpu, memory: 131072, guards: true, world: w,
		runs: map[string]*taskRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	check(err)
	k.address = l.Addr().String()
	k.server = &http.Server{Handler: k}
	go func() { _ = k.server.Serve(l) }()
	go k.live()
	return k
}

// register writes the runner's entry.
func (k *runner) register(state string) {
	k.world.store.put("servers/"+k.id, object{
		"service": k.service, "address": k.address, "zone": "z1", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1,
		"capacity": object{"cpu": k.cpu, "mem_mb": k.memory, "gpu": 0}, "labels": []any{"a", k.rack}, "machine": k.machine, "born": k.born.UnixMilli(),
	})
}

func (k *runner) clock() int64 { return time.Since(k.born).Milliseconds() + 1 }

// crash ends the runner: it runs nothing any more and its address refuses connections.
func (k *runner) crash() {
	k.mu.Lock()
	k.over = true
	for _, r := range k.runs {
		k.world.runEnded(k, r, "lost with its runner")
	}
	k.runs = map[string]*taskRun{}
	k.mu.Unlock()
	_ = k.server.Close()
}

// live ends runs when their time has come.
func (k *runner) live() {
	for range time.Tick(5 * time.Millisecond) {
		k.mu.Lock()
		if k.over {
			k.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range k.runs {
			switch {
			case k.clock() > k.deadline:
				k.end(r, "lapsed")
			case !r.stops.IsZero() && now.After(r.stops):
				k.end(r, "stopped")
			case r.ends.IsZero():
				k.wait(r, now)
			case k.world.gangSize(r.task) > 0 && k.world.gangBroken(r):
				k.end(r, "broken")
			case now.After(r.ends):
				k.end(r, k.world.outcome(r))
			}
		}
		k.mu.Unlock()
	}
}

// wait has a member of a gang begin to work once all are there, and end if the gang is
// broken or not complete in time.
func (k *runner) wait(r *taskRun, now time.Time) {
	switch present, broken := k.world.gangState(r); {
	case broken:
		k.end(r, "broken")
	case present:
		r.ends = now.Add(r.lasts)
	case now.Sub(r.began) > gangWait:
		k.end(r, "alone")
	}
}

func (k *runner) end(r *taskRun, how string) {
	delete(k.runs, r.task+"/"+strconv.FormatInt(r.attempt, 10))
	k.highest[r.task] = max(k.highest[r.task], r.attempt)
	k.ends++
	k.finished = append(k.finished, []any{k.ends, r.task, r.attempt, how, ""})
	k.world.runEnded(k, r, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the system.
func (k *runner) ServeHTTP(w http.ResponseWriter, raw *http.Request) {
	r := readRequest(raw)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != k.id {
		reply(w, http.StatusMisdirectedRequest, object{"clock_ms": k.clock(), "born": k.born.UnixMilli()})
		return
	}
	if r.URL.Path == "/-/hold" {
		k.hold(w, r)
		return
	}
	k.mu.Lock()
	reason := ""
	switch {
	case k.over:
		k.mu.Unlock()
		panic(http.ErrAbortHandler)
	case r.number("fencing_token") < k.token:
		reason = "fence"
	case r.URL.Path == "/-/run-start":
		k.token = r.number("fencing_token")
		reason = k.start(r)
	case r.URL.Path == "/-/run-stop":
		k.token = r.number("fencing_token")
		k.stop(r)
	case r.URL.Path == "/-/pace":
		k.token = r.number("fencing_token")
	default:
		k.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer := object{"clock_ms": k.clock(), "born": k.born.UnixMilli()}
	k.mu.Unlock()
	if reason != "" {
		answer["reason"] = reason
		reply(w, http.StatusConflict, answer)
		return
	}
	reply(w, http.StatusOK, answer)
}

func (k *runner) extend(deadline int64) {
	k.deadline = max(k.deadline, min(deadline, k.clock()+maxHold))
}

func (k *runner) start(r *request) (reason string) {
	task, attempt, deadline := r.text("task"), r.number("attempt"), r.number("deadline_ms")
	key := task + "/" + strconv.FormatInt(attempt, 10)
	need := k.world.need(task)
	used := int64(0)
	for _, other := range k.runs {
		used += other.cpu
	}
	switch {
	case k.runs[key] != nil:
		k.extend(deadline)
		return ""
	case attempt <= k.highest[task]:
		k.extend(deadline)
		return "old"
	case deadline <= k.clock():
		return "late"
	case k.guards && used+need > k.cpu:
		k.extend(deadline)
		return "room"
	}
	k.extend(deadline)
	duration, err := strconv.Atoi(r.text("spec"))
	if err != nil {
		duration = 500
	}
	run := &taskRun{task: task, attempt: attempt, cpu: need, began: time.Now(), lasts: time.Duration(duration) * time.Millisecond}
	if k.world.gangSize(task) == 0 {
		run.ends = run.began.Add(run.lasts)
	}
	k.runs[key] = run
	k.world.runStarted(k, run, r.number("fencing_token"), used+need)
	return ""
}

func (k *runner) stop(r *request) {
	task, attempt := r.text("task"), r.number("attempt")
	if run := k.runs[task+"/"+strconv.FormatInt(attempt, 10)]; run != nil {
		if run.stops.IsZero() {
			run.stops = time.Now().Add(50 * time.Millisecond)
		}
		return
	}
	k.highest[task] = max(k.highest[task], attempt)
}

func (k *runner) hold(w http.ResponseWriter, r *request) {
	k.mu.Lock()
	if r.number("fencing_token") < k.token {
		answer := object{"clock_ms": k.clock(), "born": k.born.UnixMilli(), "reason": "fence"}
		k.mu.Unlock()
		reply(w, http.StatusConflict, answer)
		return
	}
	k.token = r.number("fencing_token")
	if deadline := r.number("deadline_ms"); deadline > 0 {
		k.extend(deadline)
	}
	kept := k.finished[:0:0]
	for _, row := range k.finished {
		if row.([]any)[0].(int64) > r.number("observed") {
			kept = append(kept, row)
		}
	}
	k.finished = kept
	until := time.Now().Add(time.Duration(r.number("wait_ms")) * time.Millisecond)
	for len(k.finished) == 0 && !k.over && time.Now().Before(until) {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		k.mu.Lock()
		if r.Context().Err() != nil {
			break
		}
	}
	if k.over {
		k.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := []any{}
	for _, run := range k.runs {
		running = append(running, []any{run.task, run.attempt, "", 100, run.cpu})
	}
	sort.Slice(running, func(a, b int) bool { return running[a].([]any)[0].(string) < running[b].([]any)[0].(string) })
	answer := object{"clock_ms": k.clock(), "born": k.born.UnixMilli(), "running": running, "finished": append([]any{}, k.finished...)}
	k.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

// atWork returns the tasks that run there.
func (k *runner) atWork() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var tasks []string
	for _, run := range k.runs {
		tasks = append(tasks, run.task)
	}
	sort.Strings(tasks)
	return tasks
}

func (k *runner) isOver() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.over
}

// inUse returns the thousandths of a core that its runs take.
func (k *runner) inUse() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := int64(0)
	for _, run := range k.runs {
		n += run.cpu
	}
	return n
}
