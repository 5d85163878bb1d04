package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the small site.
const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 6000 * time.Millisecond
	gangWait  = 3000 * time.Millisecond
	stopTime  = 50 * time.Millisecond // at most stop_ms, 400
)

// Paths of calls.
const (
	startPath = "/-/run-start"
	holdPath  = "/-/hold"
)

func parseName(task string) taskName {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return taskName{}
	}
	step, _ := strconv.Atoi(parts[2])
	return taskName{job: parts[0], step: step, gang: strings.Join(parts[:3], ".")}
}

// runner stands in for a machine on which one life of a runner follows the other. Its address
// and id stay. mu guards all fields but the first ones.
type runner struct {
	world   *world
	id      string
	machine string
	rack    string
	service string
	guards  bool
	address string

	mu        sync.Mutex
	kind      kind
	up        bool
	isDark    bool // it answers no call any more
	born      time.Time
	token     int64
	deadline  time.Time // of all that runs
	runs      map[string]*taskRun
	floor     map[string]int // by task: the highest attempt that was stopped or ended here
	ends      [][]any
	ended     int64
	observed  int64
	changed   chan struct{}
	listener  net.Listener
	conns     map[net.Conn]bool
	life      int
	sequence  int
	heartbeat *time.Timer
}

func newRunner(w *world, id, service, rack string, k kind, guards bool) *runner {
	l := listen()
	address := l.Addr().String()
	_ = l.Close()
	return &runner{world: w, id: id, machine: "m-" + id, rack: rack, service: service, kind: k, guards: guards, address: address}
}

// start begins a new life of the given kind. The runner listens before it registers.
func (n *runner) start(k kind) error {
	l, err := net.Listen("tcp", n.address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.kind, n.up, n.born, n.token, n.deadline = k, true, time.Now(), 0, time.Time{}
	n.runs, n.floor, n.ends, n.ended, n.observed = map[string]*taskRun{}, map[string]int{}, nil, 0, 0
	n.changed, n.listener, n.conns = make(chan struct{}), l, map[net.Conn]bool{}
	n.life++
	life := n.life
	n.mu.Unlock()
	server := &http.Server{Handler: n.handler(life), ConnState: func(c net.Conn, s http.ConnState) { n.track(life, c, s) }}
	go func() { _ = server.Serve(l) }() // it ends with the listener
	n.world.record.line("runner %s starts, kind %s, cpu %d, born %d", n.id, k.label, k.cpu, n.born.UnixMilli())
	n.beat(life)
	go n.watchLease(life)
	return nil
}

func (n *runner) track(life int, c net.Conn, s http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if life != n.life {
		return
	}
	if s == http.StateClosed {
		delete(n.conns, c)
	} else {
		n.conns[c] = true
	}
}

// crash ends the present life: nothing runs on, and all connections are reset.
func (n *runner) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = false
	n.life++
	_ = n.listener.Close()
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	n.heartbeat.Stop()
	for task, r := range n.runs {
		n.world.record.line("run ends with its runner %s: %s attempt %d", n.id, task, r.attempt)
		go n.world.gangs.ended(r.name.gang, r.attempt, n)
	}
	n.runs = map[string]*taskRun{}
	n.world.record.line("runner %s crashes", n.id)
}

// dark loses the runner for good: it answers nobody, and nothing of it is heard again. Its entry
// is removed after three heartbeats of silence.
func (n *runner) dark() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isDark, n.up = true, false
	n.heartbeat.Stop()
	for task, r := range n.runs {
		n.world.record.line("run ends with its runner %s: %s attempt %d", n.id, task, r.attempt)
	}
	n.runs = map[string]*taskRun{}
	n.world.record.line("runner %s is lost for good", n.id)
	time.AfterFunc(3*heartbeat, func() { n.world.store.drop("servers/" + n.id) })
}

// beat registers the runner in the store, and again every heartbeat.
func (n *runner) beat(life int) {
	n.mu.Lock()
	if life != n.life {
		n.mu.Unlock()
		return
	}
	n.sequence++
	entry := map[string]any{
		"service": n.service, "address": n.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": n.kind.cpu, "mem_mb": n.kind.memMB, "gpu": 0}, "labels": []string{n.kind.label, n.rack},
		"clock_ms": n.clock(), "sequence": n.sequence, "machine": n.machine, "born": n.born.UnixMilli(),
	}
	pause := heartbeat
	if n.sequence == 1 {
		pause = time.Duration(rand.Int64N(int64(heartbeat))) // the runners of a site do not beat in step
	}
	n.heartbeat = time.AfterFunc(pause, func() { n.beat(life) })
	n.mu.Unlock()
	n.world.store.put("servers/"+n.id, entry)
}

// clock is the runner's steady clock. The caller holds mu.
func (n *runner) clock() int64 { return time.Since(n.born).Milliseconds() + 1 }

func (n *runner) handler(life int) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+startPath, n.order(life, n.runStart))
	m.HandleFunc("POST /-/run-stop", n.order(life, n.runStop))
	m.HandleFunc("POST "+holdPath, n.order(life, n.hold))
	m.HandleFunc("POST /-/pace", n.order(life, n.pace))
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return m
}

// order checks whom a call is for, and its fencing token. f is called with mu held.
func (n *runner) order(life int, f func(w http.ResponseWriter, r *http.Request, b *orderBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b orderBody
		if !readBody(w, r, &b) {
			return
		}
		if r.Header.Get("X-Expect-Instance") != n.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if life != n.life {
			panic(http.ErrAbortHandler) // this life is over
		}
		if n.isDark {
			n.world.record.line("call to %s, which is dark: %s %s", n.id, r.URL.Path, b.Task)
			n.mu.Unlock()
			<-r.Context().Done() // no answer
			n.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		if n.world.isLate != nil && n.world.isLate(n, r.URL.Path, &b) {
			n.mu.Unlock()
			<-r.Context().Done() // no answer; it is carried out later
			n.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		if b.Token < n.token {
			n.refuse(w, &b, "fence")
			return
		}
		n.token = b.Token
		f(w, r, &b)
	}
}

// carryOut carries out a call that got no answer, in the present life of the runner.
func (n *runner) carryOut(path string, b *orderBody) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.world.record.line("call is carried out late by %s: %s %s attempt %d, observed %d", n.id, path, b.Task, b.Attempt, b.Observed)
	if !n.up {
		return
	}
	unread := httptest.NewRecorder()
	if b.Token < n.token {
		n.refuse(unread, b, "fence")
		return
	}
	n.token = b.Token
	if path == holdPath {
		b.Wait = 0
		n.hold(unread, nil, b)
	} else {
		n.runStart(unread, nil, b)
	}
}

func (n *runner) refuse(w http.ResponseWriter, b *orderBody, reason string) {
	if b.Task != "" {
		n.world.record.line("order for %s attempt %d refused by %s: %s", b.Task, b.Attempt, n.id, reason)
	}
	reply(w, http.StatusConflict, map[string]any{"clock_ms": n.clock(), "reason": reason})
}

// extend applies a deadline to all that runs. It never shortens.
func (n *runner) extend(deadline int64) {
	if deadline <= 0 {
		return
	}
	at := n.born.Add(time.Duration(deadline-1) * time.Millisecond)
	if most := time.Now().Add(maxHold); at.After(most) {
		at = most
	}
	if at.After(n.deadline) {
		n.deadline = at
	}
}

// used returns what runs here takes, what is being stopped included.
func (n *runner) used() (cpu, memMB int) {
	for _, r := range n.runs {
		cpu, memMB = cpu+r.step.CPU, memMB+r.step.MemoryMB
	}
	return cpu, memMB
}

func (n *runner) runStart(w http.ResponseWriter, _ *http.Request, b *orderBody) {
	if r := n.runs[b.Task]; r != nil && r.attempt == b.Attempt {
		n.extend(b.Deadline)
		reply(w, http.StatusOK, map[string]any{"clock_ms": n.clock()})
		return
	}
	name := parseName(b.Task)
	job, known := n.world.job(name.job)
	if !known || name.step >= len(job.Phases) || b.Spec != job.Spec {
		n.world.record.line("start of what no client sent: %s on %s", b.Task, n.id)
		n.world.broke("UNASKED: %s was started", b.Task)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	step := job.Phases[name.step]
	switch cpu, memMB := n.used(); {
	case n.clock() > b.Deadline:
		n.refuse(w, b, "late")
		return
	case b.Attempt <= n.floor[b.Task]:
		n.extend(b.Deadline)
		n.refuse(w, b, "old")
		return
	case n.guards && (cpu+step.CPU > n.kind.cpu || memMB+step.MemoryMB > n.kind.memMB):
		n.extend(b.Deadline)
		n.refuse(w, b, "room")
		return
	case n.world.advice != nil && !step.LongRunning && !n.world.advice.accepts(b.Ticket, name.gang, n.id, n.born):
		n.refuse(w, b, "ticket")
		return
	}
	n.extend(b.Deadline)
	run := &taskRun{attempt: b.Attempt, life: n.life, step: step, name: name}
	n.runs[b.Task] = run
	n.world.record.line("task %s attempt %d starts on %s (kind %s)", b.Task, b.Attempt, n.id, n.kind.label)
	if n.world.started != nil {
		n.world.started(n, b.Task, run)
	}
	n.work(b.Task, run, job.Spec)
	reply(w, http.StatusOK, map[string]any{"clock_ms": n.clock()})
}

// work lets a run end after the time that the spec gives in milliseconds; without one it
// lasts. The members of a gang work from the time when all are there. The caller holds mu.
func (n *runner) work(task string, run *taskRun, spec string) {
	ms, err := strconv.Atoi(spec)
	if run.step.Gang {
		run.waits = true
		go n.world.gangs.present(run.name.gang, run.attempt, run.step.Count, time.Duration(ms)*time.Millisecond, member{n, task, run})
		return
	}
	if err == nil && !run.step.LongRunning {
		time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { n.finish(task, run, "done") })
	}
}

// finish ends a run, if it has not ended yet, and wakes the calls that wait for an end.
func (n *runner) finish(task string, run *taskRun, how string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.finishLocked(task, run, how)
}

func (n *runner) finishLocked(task string, run *taskRun, how string) bool {
	if run.life != n.life || n.runs[task] != run {
		return false
	}
	delete(n.runs, task)
	n.floor[task] = max(n.floor[task], run.attempt)
	n.ended++
	n.ends = append(n.ends, []any{n.ended, task, run.attempt, how, ""})
	n.world.record.line("task %s attempt %d ends on %s: %s", task, run.attempt, n.id, how)
	if how == "done" {
		n.world.done(task)
	} else if run.step.Gang && how != "broken" {
		go n.world.gangs.ended(run.name.gang, run.attempt, n)
	}
	close(n.changed)
	n.changed = make(chan struct{})
	return true
}

func (n *runner) runStop(w http.ResponseWriter, _ *http.Request, b *orderBody) {
	n.floor[b.Task] = max(n.floor[b.Task], b.Attempt)
	if r := n.runs[b.Task]; r != nil && r.attempt <= b.Attempt {
		time.AfterFunc(stopTime, func() { n.finish(b.Task, r, "stopped") })
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": n.clock()})
}

func (n *runner) pace(w http.ResponseWriter, _ *http.Request, _ *orderBody) {
	reply(w, http.StatusOK, map[string]any{"clock_ms": n.clock()})
}

func (n *runner) hold(w http.ResponseWriter, r *http.Request, b *orderBody) {
	n.extend(b.Deadline)
	if b.Observed > n.observed {
		n.observed = b.Observed
		for len(n.ends) > 0 && n.ends[0][0].(int64) <= b.Observed {
			n.world.noted(n.ends[0][1].(string), n.ends[0][3].(string))
			n.ends = n.ends[1:]
		}
	}
	life := n.life
	timeout := time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
	for waited := b.Wait <= 0; !waited && len(n.ends) == 0; {
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			waited = true
		}
		n.mu.Lock()
		if life != n.life {
			panic(http.ErrAbortHandler)
		}
	}
	rows := [][]any{}
	for task, run := range n.runs {
		percent := 100
		if run.waits {
			percent = 0
		}
		rows = append(rows, []any{task, run.attempt, "", percent, 0})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": n.clock(), "born": n.born.UnixMilli(), "running": rows, "finished": n.ends[:min(len(n.ends), 500)]})
}

// watchLease kills everything when the lease has expired.
func (n *runner) watchLease(life int) {
	for range time.Tick(20 * time.Millisecond) {
		n.mu.Lock()
		if life != n.life {
			n.mu.Unlock()
			return
		}
		if time.Now().After(n.deadline) {
			for task, run := range n.runs {
				n.finishLocked(task, run, "lapsed")
			}
		}
		n.mu.Unlock()
	}
}

func (n *runner) String() string { return fmt.Sprintf("%s at %s", n.id, n.address) }
