package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// world is what the stand-ins of one run share, and what they have seen.
type world struct {
	store   *store
	mu      sync.Mutex
	runners map[string]*runner
	needs   map[string]int64 // thousandths of a core, by task's job
	starts  []taskStart
	gangs   map[string]int      // by step: number of members
	members map[string]*gangRun // by step and attempt
	fails   map[string]int      // by job: runs that are still to fail by their own fault
	ended   map[string]int      // by job and how: ends
}

func newWorld() *world {
	return &world{store: newStore(), runners: map[string]*runner{}, needs: map[string]int64{}, gangs: map[string]int{}, members: map[string]*gangRun{}, fails: map[string]int{}, ended: map[string]int{}}
}

func (w *world) need(task string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n, ok := w.needs[stepOf(task)]; ok {
		return n
	}
	if n, ok := w.needs[task[:16]]; ok {
		return n
	}
	return 1000
}

// setNeed sets what the tasks of one step need, in thousandths of a core.
func (w *world) setNeed(step string, cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.needs[step] = cpu
}

func (w *world) runStarted(k *runner, r *taskRun, token, used int64) {
	note("runner %s starts %s attempt %d (token %d; %d of %d in use)", k.id, r.task, r.attempt, token, used, k.cpu)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gangs[stepOf(r.task)] > 0 {
		w.gang(r).there[r.task] = true
	}
	w.starts = append(w.starts, taskStart{time.Now(), r.task, r.attempt, k.id, token})
}

func (w *world) runEnded(k *runner, r *taskRun, how string) {
	note("runner %s: %s attempt %d ended: %s", k.id, r.task, r.attempt, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[r.task[:16]+" "+how]++
	if w.gangs[stepOf(r.task)] > 0 && how != "done" {
		w.gang(r).broken = true
	}
}

// addRunner adds a runner and registers it. It keeps its entry alive until it is gone.
func (w *world) addRunner(id, service, machine, rack, address string, cpu int64) *runner {
	k := w.newRunner(id, service, machine, rack, address, cpu)
	w.mu.Lock()
	w.runners[id] = k
	w.mu.Unlock()
	k.register("ready")
	return k
}

// startsOf returns the starts of a job's tasks so far.
func (w *world) startsOf(job string) []taskStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	var starts []taskStart
	for _, s := range w.starts {
		if s.task[:16] == job {
			starts = append(starts, s)
		}
	}
	return starts
}

// stepOf returns the step in a task's name, ID.K.STEP.INDEX.
func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

func (w *world) gangSize(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangs[stepOf(task)]
}

func (w *world) gang(r *taskRun) *gangRun {
	key := fmt.Sprint(stepOf(r.task), "/", r.attempt)
	g := w.members[key]
	if g == nil {
		g = &gangRun{there: map[string]bool{}}
		w.members[key] = g
	}
	return g
}

func (w *world) gangState(r *taskRun) (present, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gang(r)
	return len(g.there) == w.gangs[stepOf(r.task)], g.broken
}

func (w *world) gangBroken(r *taskRun) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gang(r).broken
}

// outcome returns how a run ends that has done its work.
func (w *world) outcome(r *taskRun) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if job := r.task[:16]; w.fails[job] > 0 {
		w.fails[job]--
		return "failed"
	}
	return "done"
}

// ofService returns the runners of a service that are up.
func (w *world) ofService(service string) []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*runner
	for _, k := range w.runners {
		if k.service == service && !k.isOver() {
			list = append(list, k)
		}
	}
	return list
}
