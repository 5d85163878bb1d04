package scheduler

import (
	"slices"
	"time"

	"persimmonbay/internal/places"
)

// awaitsPlace reports whether tasks of s, one or a gang, that have room on the given workers
// wait for places in their rack instead. The next plan then asks again.
func (p *Pool) awaitsPlace(s *stage, tasks []*task, workers []*worker, now time.Time, plan *Plan) bool {
	if p.timing.SpreadFactor <= 1 || s.step.DataRack == "" && !s.step.SameRack {
		return false
	}
	id := tasks[0].id
	if p.areNear(s, workers) {
		if p.placeWaits.end(id, true, now) {
			p.addEvent(Event{Kind: PlaceWon, Worker: workers[0].info.ID, Task: id}, now)
		} else {
			p.placeWaits.asked(workers[0].info.Rack, true)
		}
		return false
	}
	rack, q := p.placeQuestion(s, tasks, now)
	if rack != "" && p.placeWaits.since[id].IsZero() {
		p.placeWaits.asked(rack, false)
	}
	answer := places.Decide(q)
	if !answer.Wait {
		if p.placeWaits.end(id, false, now) {
			p.addEvent(Event{Kind: PlaceGivenUp, Worker: workers[0].info.ID, Task: id, Place: &places.Decision{Question: *q, Answer: answer}}, now)
		}
		return false
	}
	if p.placeWaits.since[id].IsZero() {
		p.placeWaits.since[id] = now
		p.placeWaits.statistics.Begun()
		p.addEvent(Event{Kind: PlaceAwaited, Worker: workers[0].info.ID, Task: id, Place: &places.Decision{Question: *q, Answer: answer}}, now)
	}
	p.placeWaits.ahead[rack] += len(tasks)
	plan.wakeAt(now.Add(answer.For))
	plan.wakeAt(now.Add(min(q.Far-q.Near, places.MaxWait) - q.Waited))
	return true
}

// areNear reports whether the workers are all in the rack of the step's data and, if its
// tasks belong in one rack, in one with those that run.
func (p *Pool) areNear(s *stage, workers []*worker) bool {
	for _, w := range workers {
		if s.step.DataRack != "" && !w.info.HasLabel(s.step.DataRack) {
			return false
		}
		if s.step.SameRack && (w.info.Rack != workers[0].info.Rack || !s.sharesRack(w)) {
			return false
		}
	}
	return true
}

// placeQuestion returns the rack in which the tasks would find their places first, and what
// decides whether they wait for it.
func (p *Pool) placeQuestion(s *stage, tasks []*task, now time.Time) (string, *places.Question) {
	j := s.job
	queue := j.sub.Queue
	near, learned := p.placeWaits.runTimes.Near(queue, p.durations.expectedTask(queue, s.step.Estimate))
	q := &places.Question{
		Near: near, Far: time.Duration(p.timing.SpreadFactor * float64(near)), Learned: learned, Places: len(tasks),
		Lasting: s.step.LongRunning, Hopeless: j.rank.class >= lateClass,
	}
	q.Left = j.countsFrom.Add(j.objectiveTime).Sub(now) - max(j.remainingChain-p.durations.expectedStep(queue, s.step.Estimate), 0)
	if since := p.placeWaits.since[tasks[0].id]; !since.IsZero() {
		q.Waited = now.Sub(since)
	}
	best := ""
	for rack, free := range p.freePlaces(s, now) {
		slices.Sort(free)
		next := p.placeWaits.ahead[rack] + q.Places - 1
		if next < len(free) && (best == "" || free[next] < q.Free[q.Ahead+q.Places-1] || free[next] == q.Free[q.Ahead+q.Places-1] && rack < best) {
			best, q.Free, q.Ahead = rack, free, p.placeWaits.ahead[rack]
		}
	}
	q.Pressure = p.placeWaits.pressureOn(best)
	return best, q
}

// freePlaces returns when the places for tasks of s are expected to be free, by rack, in the
// racks that are near for s.
func (p *Pool) freePlaces(s *stage, now time.Time) map[string][]time.Duration {
	free := make(map[string][]time.Duration)
	for _, w := range p.workers {
		if w.usable(now) && p.eligible(s, w) && s.step.reserved().Fits(w.info.Capacity) && p.areNear(s, []*worker{w}) {
			free[w.info.Rack] = append(free[w.info.Rack], p.freePlacesOn(w, s, now)...)
		}
	}
	return free
}

// freePlacesOn returns when each place for a task of s on w is expected to be free: now, or
// as the runs there end that are expected to.
func (p *Pool) freePlacesOn(w *worker, s *stage, now time.Time) []time.Duration {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		if r.stage != nil && !r.stage.step.LongRunning {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return int(p.expectedRest(a, now) - p.expectedRest(b, now)) })
	room := w.free()
	most := maxPlacesOnWorker
	if s.step.MaxPerWorker > 0 {
		most = min(most, s.step.MaxPerWorker)
	}
	free := make([]time.Duration, min(s.step.reserved().timesIn(room), most))
	for _, r := range runs {
		room = room.Plus(r.reserved)
		for len(free) < min(s.step.reserved().timesIn(room), most) {
			free = append(free, p.expectedRest(r, now))
		}
	}
	return free
}

// maxPlacesOnWorker bounds how many places on one worker are considered.
const maxPlacesOnWorker = 16

// expectedRest returns how long a run is expected to go on. One that takes longer than
// expected is taken to need overdueShare of that time more.
func (p *Pool) expectedRest(r *run, now time.Time) time.Duration {
	if r.wantStop {
		return p.timing.StopTimeout
	}
	expected := p.durations.expectedTask(r.stage.job.sub.Queue, r.stage.step.Estimate)
	return max(expected-now.Sub(r.orderedAt), expected/overdueShare)
}

const overdueShare = 4

// learnRunTime records how long a task of the stage took on w if it belongs near its data.
func (p *Pool) learnRunTime(s *stage, w *worker, took time.Duration) {
	if p.timing.SpreadFactor <= 1 || s.step.DataRack == "" {
		return
	}
	factor := p.timing.SpreadFactor
	if w.info.HasLabel(s.step.DataRack) {
		factor = 1
	}
	p.placeWaits.runTimes.Add(s.job.sub.Queue, took, factor)
}

// PlaceWaits returns the figures of waits for places for the metrics. Like Counts, it can be
// called on an unusable pool.
func (p *Pool) PlaceWaits() places.Summary {
	p.mu.mu.Lock()
	defer p.mu.mu.Unlock()
	return p.placeWaits.statistics.Summary()
}
