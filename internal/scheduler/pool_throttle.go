package scheduler

import "time"

// planPaces slows down what fills on workers where a serving task comes near
// its target, and speeds it up again where all have time to spare.
func (p *Pool) planThrottles(now time.Time, plan *Plan) {
	if now.Sub(p.throttlesPlannedAt) < throttlePlanInterval {
		return
	}
	p.throttlesPlannedAt = now
	for _, w := range p.workers {
		targetShare := w.targetShare()
		for _, r := range w.runs {
			if r.stage == nil || !r.stage.step.BestEffort || r.phase != running || r.wantStop {
				continue
			}
			p.throttle(r, targetShare, now, plan)
		}
	}
}

// strain returns the largest share of its target that a serving task on w
// takes; 0 when none serves there.
func (w *worker) targetShare() float64 {
	most := 0.0
	for _, r := range w.runs {
		if r.stage == nil || r.stage.step.Target == 0 || r.phase != running {
			continue
		}
		share := float64(time.Duration(r.gauge)*time.Millisecond) / float64(r.stage.step.Target)
		most = max(most, share)
	}
	return most
}

func (p *Pool) throttle(r *run, targetShare float64, now time.Time, plan *Plan) {
	want := r.orderedPercent
	switch {
	case targetShare > maxTargetShare:
		want = r.orderedPercent / 2
	case targetShare < minTargetShare && r.orderedPercent < fullSpeedPercent:
		want = min(fullSpeedPercent, r.orderedPercent+throttleStepPercent)
	}
	if want == r.orderedPercent || now.Before(r.throttledAt.Add(minThrottleInterval)) {
		return
	}
	r.orderedPercent, r.throttledAt = want, now
	p.counts.Paces++
	plan.Throttles = append(plan.Throttles, ThrottleOrder{
		Worker: r.worker.info.ID, Address: r.worker.info.Address, Task: r.id, Attempt: r.attempt, Percent: want, Token: p.token,
	})
}

const (
	// strainHigh and strainLow bound the share of its target that a serving
	// task's tail latency is kept in.
	maxTargetShare = 0.85
	minTargetShare = 0.6
	// paceStep is by how much a filling task is sped up at once, in percent.
	throttleStepPercent = 20
	// paceInterval is the time between two looks at all runs, short against paceEvery.
	throttlePlanInterval = 50 * time.Millisecond
	// paceEvery is the least time between two paces of a run: the platform
	// measures the tail over half a second.
	minThrottleInterval = 600 * time.Millisecond
)
