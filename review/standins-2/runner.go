package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// runner is one life of a runner.
type runner struct {
	f        *floor
	id       string
	machine  string
	service  string
	address  string
	kind     string
	rack     string
	capacity amounts
	guards   bool
	gate     *gate
	server   *http.Server
	started  time.Time
	born     int64
	clock0   int64

	// floor.mu guards the rest.
	up       bool
	draining bool
	token    int64
	deadline int64 // on its clock
	runs     map[string]*taskRun
	over     map[string]int64 // by task: the highest run that was stopped or has ended here
	ends     []*taskEnd
	ended    int64
	observed int64
	changed  chan struct{}
	lose     func(path string) string // how a call's answer is lost: "", "lost" or "late"
}

const (
	maxHold     = 6 * time.Second
	gangTime    = 3 * time.Second
	stopTime    = 400 * time.Millisecond  // stop_ms
	drainTime   = 2500 * time.Millisecond // drain_ms, and a little longer
	saveEvery   = 500 * time.Millisecond
	beat        = 1500 * time.Millisecond
	maxEndsSent = 500
)

func (r *runner) clock() int64 { return r.clock0 + time.Since(r.started).Milliseconds() }

func (r *runner) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /-/run-start", r.start)
	m.HandleFunc("POST /-/run-stop", r.stop)
	m.HandleFunc("POST /-/hold", r.hold)
	m.HandleFunc("POST /-/pace", r.pace)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
			respond(w, http.StatusMisdirectedRequest, object{"clock_ms": r.clock()})
			return
		}
		if r.lose != nil && (q.URL.Path == "/-/run-start" || q.URL.Path == "/-/run-stop") {
			switch r.lose(q.URL.Path) {
			case "lost":
				m.ServeHTTP(&heldResponse{header: http.Header{}}, q)
				time.Sleep(3 * time.Second)
				panic(http.ErrAbortHandler)
			case "late":
				b := body(q)
				go func() {
					defer func() { _ = recover() }() // the runner is gone
					time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(6*time.Second))))
					if q.URL.Path == "/-/run-start" {
						r.startWith(&heldResponse{header: http.Header{}}, b)
					} else {
						r.stopWith(&heldResponse{header: http.Header{}}, b)
					}
				}()
				time.Sleep(3 * time.Second)
				panic(http.ErrAbortHandler)
			}
		}
		m.ServeHTTP(w, q)
	})
}

// refuse answers 409. The caller holds the floor's lock.
func (r *runner) refuse(w http.ResponseWriter, reason string) {
	respond(w, http.StatusConflict, object{"clock_ms": r.clock(), "reason": reason})
}

// fenced reports whether token is lower than one seen before.
func (r *runner) fenced(w http.ResponseWriter, token int64) bool {
	if token < r.token {
		r.refuse(w, "fence")
		return true
	}
	r.token = token
	return false
}

func (r *runner) extend(deadline int64) {
	if limit := r.clock() + maxHold.Milliseconds(); deadline > limit {
		deadline = limit
	}
	r.deadline = max(r.deadline, deadline)
}

func (r *runner) used() amounts {
	var u amounts
	for _, x := range r.runs {
		u = u.plus(x.t.need())
	}
	return u
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) { r.startWith(w, body(q)) }

func (r *runner) startWith(w http.ResponseWriter, b fields) {
	f := r.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.up {
		panic(http.ErrAbortHandler)
	}
	r.lapse()
	name, attempt := b.text("task"), b.number("attempt")
	if r.fenced(w, b.number("fencing_token")) {
		return
	}
	if x := r.runs[name]; x != nil && x.attempt == attempt {
		r.extend(b.number("deadline_ms"))
		respond(w, http.StatusOK, object{"clock_ms": r.clock()})
		return
	}
	if attempt <= r.over[name] || r.runs[name] != nil && r.runs[name].attempt > attempt {
		r.extend(b.number("deadline_ms"))
		r.refuse(w, "old")
		return
	}
	if b.number("deadline_ms") < r.clock() {
		r.refuse(w, "late")
		return
	}
	t := f.info(name)
	if t == nil {
		f.broke("UNASKED", "%s was told to start %s, which no client sent", r.id, name)
		respond(w, http.StatusBadRequest, object{"clock_ms": r.clock()})
		return
	}
	if t.job.advised && !f.ticketValid(t, r, b.text("ticket")) {
		r.refuse(w, "ticket")
		return
	}
	if !r.used().plus(t.need()).within(r.capacity) {
		if r.guards {
			r.extend(b.number("deadline_ms"))
			f.roomRefusals++
			r.refuse(w, "room")
			return
		}
		f.broke("LIMIT", "%s, which starts whatever it is told to, was told to start %s beyond its capacity", r.id, name)
	}
	r.extend(b.number("deadline_ms"))
	x := &taskRun{r: r, task: name, attempt: attempt, t: t, began: time.Now(), checkpoint: b.text("checkpoint"), percent: 100}
	f.checkStart(x, b)
	r.runs[name] = x
	f.begin(x)
	respond(w, http.StatusOK, object{"clock_ms": r.clock()})
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) { r.stopWith(w, body(q)) }

func (r *runner) stopWith(w http.ResponseWriter, b fields) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if !r.up {
		panic(http.ErrAbortHandler)
	}
	r.lapse()
	if r.fenced(w, b.number("fencing_token")) {
		return
	}
	name, attempt := b.text("task"), b.number("attempt")
	if x := r.runs[name]; x != nil && x.attempt <= attempt && !x.stopping {
		x.stopping = true
		time.AfterFunc(time.Duration(rand.Int64N(int64(stopTime))), func() {
			r.f.mu.Lock()
			defer r.f.mu.Unlock()
			r.f.end(x, "stopped")
		})
	}
	r.over[name] = max(r.over[name], attempt)
	respond(w, http.StatusOK, object{"clock_ms": r.clock()})
}

func (r *runner) pace(w http.ResponseWriter, q *http.Request) {
	b := body(q)
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if r.fenced(w, b.number("fencing_token")) {
		return
	}
	if x := r.runs[b.text("task")]; x != nil && x.attempt == b.number("attempt") {
		x.percent = b.number("percent")
	}
	respond(w, http.StatusOK, object{"clock_ms": r.clock()})
}

// lapse ends all runs if the lease has lapsed.
func (r *runner) lapse() {
	if r.clock() <= r.deadline {
		return
	}
	for _, e := range r.ends {
		e.lapsed = true
	}
	for _, x := range r.runs {
		r.f.end(x, "lapsed")
	}
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	b := body(q)
	timeout := time.After(time.Duration(b.number("wait_ms")) * time.Millisecond)
	for waited := b.number("wait_ms") == 0; ; {
		r.f.mu.Lock()
		if !r.up {
			r.f.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		r.lapse()
		if r.fenced(w, b.number("fencing_token")) {
			r.f.mu.Unlock()
			return
		}
		for len(r.ends) > 0 && r.ends[0].n <= b.number("observed") {
			r.f.noted(r.ends[0])
			r.ends = r.ends[1:]
		}
		if d := b.number("deadline_ms"); d > 0 {
			r.extend(d)
		}
		if waited || len(r.ends) > 0 {
			running, finished := list{}, list{}
			for _, x := range r.runs {
				percent := x.percent
				if x.working.IsZero() || x.t.step.lasts && time.Since(x.working) < startupTime {
					percent = 0
				}
				running = append(running, list{x.task, x.attempt, x.saved(), percent, 0})
			}
			for _, e := range r.ends[:min(len(r.ends), maxEndsSent)] {
				finished = append(finished, list{e.n, e.task, e.attempt, e.how, e.saved})
			}
			respond(w, http.StatusOK, object{"clock_ms": r.clock(), "born": r.born, "running": running, "finished": finished})
			r.f.mu.Unlock()
			return
		}
		changed := r.changed
		r.f.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-q.Context().Done():
			return
		}
	}
}

// workedUntil returns the work that a checkpoint holds, and whether it is one of the task.
func (t *taskInfo) workedUntil(checkpoint string) (time.Duration, bool) {
	if checkpoint == "" {
		return 0, true
	}
	count, ok := strings.CutPrefix(checkpoint, t.checkpointName()+":")
	n, err := strconv.Atoi(count)
	return time.Duration(n) * saveEvery, ok && err == nil
}
