package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// floor holds all runners and what they have run, and checks the rules on jobs.
type floor struct {
	w  *world
	mu sync.Mutex

	runners       map[string]*runner // those that are up, by id
	jobs          map[string]*jobInfo
	gangs         map[string]*gang
	tickets       map[string]ticketInfo // by ticket
	broken        map[string][]string
	roomRefusals  int
	checksMayMiss bool
	starts        int
	ends          map[string]int
	serial        int
}

func newFloor(w *world) *floor {
	f := &floor{w: w, runners: map[string]*runner{}, jobs: map[string]*jobInfo{}, gangs: map[string]*gang{}, tickets: map[string]ticketInfo{}, broken: map[string][]string{}, ends: map[string]int{}}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			f.mu.Lock()
			for _, r := range f.runners {
				r.lapse()
			}
			f.mu.Unlock()
		}
	}()
	return f
}

// broke records a broken rule. The caller holds mu.
func (f *floor) broke(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	note("BROKEN %s: %s", rule, text)
	f.broken[rule] = append(f.broken[rule], text)
}

// addRunner starts a runner on a machine. With an empty id it gets a new one.
func (f *floor) addRunner(id, machine, service, kind, rack string, capacity amounts, guards bool) *runner {
	f.mu.Lock()
	f.serial++
	if id == "" {
		id = fmt.Sprintf("i-%04d", f.serial)
	}
	r := &runner{
		f: f, id: id, machine: machine, service: service, kind: kind, rack: rack, capacity: capacity, guards: guards, gate: &gate{},
		started: time.Now(), born: time.Now().UnixMilli(), clock0: 1000 + rand.Int64N(500000), up: true, runs: map[string]*taskRun{}, over: map[string]int64{},
		changed: make(chan struct{}),
	}
	f.runners[id] = r
	f.mu.Unlock()
	r.address, r.server = serve(r.gate.wrap(r.handler()))
	go r.beat()
	return r
}

// beat registers the runner while it is up.
func (r *runner) beat() {
	for {
		r.f.mu.Lock()
		up := r.up
		r.f.mu.Unlock()
		if !up {
			return
		}
		r.register()
		time.Sleep(beat)
	}
}

func (r *runner) register() {
	r.f.mu.Lock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	o := object{
		"service": r.service, "address": r.address, "zone": "zone-1", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": r.capacity.object(), "labels": list{r.kind, r.rack}, "machine": r.machine, "born": r.born, "sequence": r.clock(), "clock_ms": r.clock(),
	}
	if r.draining {
		o["remaining_ms"] = 2000
	}
	r.f.mu.Unlock()
	r.f.w.store.put("servers/"+r.id, o)
}

// crash ends the runner without a word. Its entry stays for three heartbeats.
func (r *runner) crash() {
	r.f.mu.Lock()
	r.up = false
	for _, x := range r.runs {
		r.f.forget(x)
	}
	r.runs = map[string]*taskRun{}
	if r.f.runners[r.id] == r {
		delete(r.f.runners, r.id)
	}
	r.f.mu.Unlock()
	_ = r.server.Close()
	note("runner %s crashes", r.id)
	time.AfterFunc(3*beat, func() {
		r.f.mu.Lock()
		again := r.f.runners[r.id] != nil
		r.f.mu.Unlock()
		if !again {
			r.f.w.store.remove("servers/" + r.id)
		}
	})
}

// leave drains the runner, and ends it after drain_ms.
func (r *runner) leave() { r.leaveAfter(drainTime) }

// leaveAfter is leave for a runner that takes longer.
func (r *runner) leaveAfter(d time.Duration) {
	r.f.mu.Lock()
	r.draining = true
	r.f.mu.Unlock()
	r.register()
	note("runner %s drains", r.id)
	time.AfterFunc(d, func() {
		r.f.mu.Lock()
		r.up = false
		for _, x := range r.runs {
			r.f.forget(x)
		}
		r.runs = map[string]*taskRun{}
		delete(r.f.runners, r.id)
		r.f.mu.Unlock()
		_ = r.server.Close()
		r.f.w.store.remove("servers/" + r.id)
	})
}

// info returns the task with the given name, or nil. The caller holds mu.
func (f *floor) info(name string) *taskInfo {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil
	}
	j := f.jobs[parts[0]]
	if j == nil {
		return nil
	}
	if t := j.tasks[name]; t != nil {
		return t
	}
	k, _ := strconv.Atoi(parts[1])
	s, _ := strconv.Atoi(parts[2])
	n, _ := strconv.Atoi(parts[3])
	if k >= max(j.repeat, 1) || s >= len(j.steps) || n >= j.steps[s].count {
		return nil
	}
	t := &taskInfo{job: j, step: &j.steps[s], name: name, k: k, stepIndex: s, task: n, awaySince: time.Now()}
	j.tasks[name] = t
	return t
}

func taskName(job string, k, s, n int) string { return fmt.Sprintf("%s.%d.%d.%d", job, k, s, n) }

// checkStart checks the rules on a start. The caller holds mu.
func (f *floor) checkStart(x *taskRun, b fields) {
	t, r, now := x.t, x.r, time.Now()
	j := t.job
	f.starts++
	t.started++
	note("start %s run %d on %s, token %d", x.task, x.attempt, r.id, b.number("fencing_token"))
	if b.text("spec") != j.spec {
		f.broke("UNASKED", "%s was told to start %s with another spec", r.id, x.task)
	}
	if _, ok := t.workedUntil(x.checkpoint); !ok {
		f.broke("UNASKED", "%s was told to start %s with checkpoint %q", r.id, x.task, x.checkpoint)
	}
	if !j.cancelledAt.IsZero() && now.Sub(j.cancelledAt) > 3*time.Second {
		f.broke("UNASKED", "%s starts %.1f s after its job's cancelling was acknowledged", x.task, now.Sub(j.cancelledAt).Seconds())
	}
	for _, o := range t.live {
		if o.r.up {
			f.broke("TWICE", "%s starts on %s as run %d while its run %d is on %s", x.task, r.id, x.attempt, o.attempt, o.r.id)
		}
	}
	if !t.doneAt.IsZero() && !t.step.lasts {
		text := fmt.Sprintf("%s starts on %s as run %d after it has ended done", x.task, r.id, x.attempt)
		t.startsAfterDone = append(t.startsAfterDone, lateStart{text, t.doneEnds})
	}
	if now.Add(250 * time.Millisecond).Before(j.due(t.k)) {
		f.broke("ORDER", "%s starts %.2f s before it is due", x.task, j.due(t.k).Sub(now).Seconds())
	}
	for _, before := range t.step.after {
		if !f.stepDone(j, t.k, before) {
			f.broke("ORDER", "%s starts before step %d is done", x.task, before)
		}
	}
	if r.service != j.service {
		f.broke("ROUTE", "%s starts on %s of service %s", x.task, r.id, r.service)
	}
	if t.step.label != "" && t.step.label != r.kind && t.step.label != r.rack {
		f.broke("ROUTE", "%s needs the label %s and starts on %s", x.task, t.step.label, r.id)
	}
	if t.step.antiAffinity > 0 {
		n := 1
		for _, o := range r.runs {
			if o.t.stepName() == t.stepName() && o.task != x.task {
				n++
			}
		}
		if n > t.step.antiAffinity {
			f.broke("ROUTE", "%s starts on %s beside %d of its step, at most %d may run there", x.task, r.id, n-1, t.step.antiAffinity)
		}
	}
	if j.maxFailures > 0 && !t.step.lasts && t.failedNoted >= j.maxFailures {
		f.broke("BUDGET", "%s starts after %d failed runs", x.task, t.failedNoted)
	}
}

// stepDone reports whether all tasks of a step have ended done.
func (f *floor) stepDone(j *jobInfo, k, s int) bool {
	for n := range j.steps[s].count {
		t := j.tasks[taskName(j.id, k, s, n)]
		done := t != nil && !t.doneAt.IsZero()
		if j.steps[s].gang && done {
			return true
		}
		if !j.steps[s].gang && !done {
			return false
		}
	}
	return !j.steps[s].gang
}

// begin makes a run work, or wait for its gang. The caller holds mu.
func (f *floor) begin(x *taskRun) {
	t := x.t
	t.live = append(t.live, x)
	x.worked, _ = t.workedUntil(x.checkpoint)
	if !t.step.gang {
		f.work(x)
		return
	}
	key := fmt.Sprintf("%s/%d", t.stepName(), x.attempt)
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: map[string]*taskRun{}}
		f.gangs[key] = g
	}
	g.members[x.task] = x
	if len(g.members) == t.step.count && !g.over {
		g.working = true
		for _, m := range g.members {
			f.work(m)
		}
		return
	}
	time.AfterFunc(gangTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if x.working.IsZero() {
			f.end(x, "alone")
		}
	})
}

func (f *floor) work(x *taskRun) {
	x.working = time.Now()
	t := x.t
	if t.step.lasts {
		time.AfterFunc(startupTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if x.r.runs[x.task] == x && x.r.up && !x.stopping {
				t.awaySince, t.endedByOrder = time.Time{}, false
			}
		})
	}
	left := max(t.step.work-x.worked, 50*time.Millisecond)
	if t.step.lasts {
		if t.step.failShare > 0 && rand.Float64() < t.step.failShare {
			time.AfterFunc(time.Second+time.Duration(rand.Int64N(int64(4*time.Second))), func() { f.endLocked(x, "failed") })
		}
		return
	}
	if t.job.hopeless || rand.Float64() < t.step.failShare {
		time.AfterFunc(left/2, func() { f.endLocked(x, "failed") })
		return
	}
	time.AfterFunc(left, func() { f.endLocked(x, "done") })
}

func (f *floor) endLocked(x *taskRun, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(x, how)
}

// end ends a run and lists its end. The caller holds mu.
func (f *floor) end(x *taskRun, how string) {
	r, t := x.r, x.t
	if r.runs[x.task] != x || !r.up {
		return
	}
	if x.stopping && how != "lapsed" && how != "done" {
		how = "stopped"
	}
	if how == "stopped" {
		f.ordered(x)
	} else if t.step.lasts && t.awaySince.IsZero() {
		t.awaySince = time.Now()
	}
	saved := ""
	if t.step.checkpointing && how != "done" {
		saved = x.saved()
	}
	delete(r.runs, x.task)
	f.forget(x)
	r.over[x.task] = max(r.over[x.task], x.attempt)
	r.ended++
	e := &taskEnd{n: r.ended, task: x.task, attempt: x.attempt, how: how, saved: saved, at: time.Now(), run: x}
	r.ends = append(r.ends, e)
	f.ends[how]++
	t.lastEnd = time.Now()
	note("end %s run %d on %s: %s", x.task, x.attempt, r.id, how)
	if how == "done" {
		t.doneEnds = append(t.doneEnds[:len(t.doneEnds):len(t.doneEnds)], e)
	}
	if how == "done" && t.doneAt.IsZero() {
		t.doneAt = time.Now()
	}
	if how == "alone" && t.job.cancelledAt.IsZero() && !t.job.cancelTried {
		f.broken["GANG"] = append(f.broken["GANG"], fmt.Sprintf("%s run %d ends alone", x.task, x.attempt))
	}
	close(r.changed)
	r.changed = make(chan struct{})
	if t.step.gang {
		if g := f.gangs[fmt.Sprintf("%s/%d", t.stepName(), x.attempt)]; g != nil {
			f.endGang(g, x, how)
		}
	}
}

// startupTime is how long a task that lasts takes until it is at work.
const startupTime = 300 * time.Millisecond

// noticeTime is notice_ms.
const noticeTime = 4500 * time.Millisecond

// ordered records that an order of the system ends a run, and checks may_miss.
func (f *floor) ordered(x *taskRun) {
	t := x.t
	if !t.step.lasts || !t.job.cancelledAt.IsZero() || t.job.cancelTried {
		return
	}
	wasAway := !t.awaySince.IsZero()
	t.endedByOrder = true
	if t.awaySince.IsZero() {
		t.awaySince = time.Now()
	}
	if !f.checksMayMiss || t.step.mayMiss == 0 || wasAway || !x.r.up || x.r.draining {
		return
	}
	var away []string
	for n := range t.step.count {
		o := t.job.tasks[taskName(t.job.id, t.k, t.stepIndex, n)]
		if o == nil || o == t || o.awaySince.IsZero() {
			continue
		}
		if o.endedByOrder || time.Since(o.awaySince) >= noticeTime {
			away = append(away, o.name)
		}
	}
	if len(away) >= t.step.mayMiss {
		f.broke("AVAIL", "%s on %s is ended by an order while %v of its step are away, and %d may be", t.name, x.r.id, away, t.step.mayMiss)
	}
}

func (f *floor) endGang(g *gang, x *taskRun, how string) {
	if !g.working {
		delete(g.members, x.task)
		return
	}
	if g.over {
		return
	}
	g.over = true
	for _, m := range g.members {
		if m == x {
			continue
		}
		if how == "done" {
			f.end(m, "done")
		} else {
			f.end(m, "broken")
		}
	}
}

// forget removes a run from its task's live runs, as its runner ended it or is gone.
func (f *floor) forget(x *taskRun) {
	var left []*taskRun
	for _, o := range x.t.live {
		if o != x {
			left = append(left, o)
		}
	}
	x.t.live = left
	if x.t.step.gang && !x.r.up {
		if g := f.gangs[fmt.Sprintf("%s/%d", x.t.stepName(), x.attempt)]; g != nil {
			f.endGang(g, x, "gone")
		}
	}
}

// noted records that an end was taken note of.
func (f *floor) noted(e *taskEnd) {
	t := f.info(e.task)
	switch {
	case t == nil:
	case e.how == "done":
		e.noted = !e.lapsed
	case e.how == "failed" && !e.lapsed:
		t.failedNoted++
	}
}

// ticketValid reports whether a ticket is one for the task's step on the runner, now.
func (f *floor) ticketValid(t *taskInfo, r *runner, ticket string) bool {
	i, ok := f.tickets[ticket]
	return ok && i.step == t.stepName() && i.runner == r && time.Now().Before(i.until)
}

// settle checks what can only be judged at the end.
func (f *floor) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, j := range f.jobs {
		for _, t := range j.tasks {
			for _, s := range t.startsAfterDone {
				for _, e := range s.ends {
					if e.noted {
						f.broke("TWICE", "%s", s.text)
						break
					}
				}
			}
		}
		if j.rejected && len(j.tasks) > 0 {
			f.broke("REFUSED", "%s was refused and has started", j.id)
		}
	}
	var kinds []string
	for k, n := range f.ends {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(kinds)
	note("%d jobs, %d starts; ends: %s; %d refused for want of room", len(f.jobs), f.starts, strings.Join(kinds, ", "), f.roomRefusals)
}
