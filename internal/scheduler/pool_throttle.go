package scheduler

import "time"

// planThrottles slows down best-effort runs on workers where the tail latency of a
// serving task comes near its target, and speeds them up again where the latencies of
// all serving tasks are well below their targets.
func (p *Pool) planThrottles(now time.Time, plan *Plan) {
	if now.Sub(p.throttlesPlannedAt) < throttlePlanInterval {
		return
	}
	p.throttlesPlannedAt = now
	for _, w := range p.workers {
		targetShare, measured := 0.0, false // most workers have no run to throttle
		for _, r := range w.runs {
			if r.stage == nil || !r.stage.step.BestEffort || r.phase != running || r.wantStop {
				continue
			}
			if !measured {
				targetShare, measured = w.targetShare(), true
			}
			p.throttle(r, targetShare, now, plan)
		}
	}
}

// targetShare returns the highest ratio of tail latency to target among the serving
// tasks on w, or 0 if there are none.
func (w *worker) targetShare() float64 {
	highest := 0.0
	for _, r := range w.runs {
		if r.stage == nil || r.stage.step.Target == 0 || r.phase != running {
			continue
		}
		share := float64(time.Duration(r.latencyOrUsage)*time.Millisecond) / float64(r.stage.step.Target)
		highest = max(highest, share)
	}
	return highest
}

func (p *Pool) throttle(r *run, targetShare float64, now time.Time, plan *Plan) {
	want := r.orderedPercent
	switch {
	case targetShare > maxTargetShare:
		want = r.orderedPercent / 2
	case targetShare < minTargetShare && r.orderedPercent < fullSpeedPercent:
		want = min(fullSpeedPercent, r.orderedPercent+throttleStepPercent)
	}
	if want == r.orderedPercent && !r.throttleReplaced() || now.Before(r.throttledAt.Add(minThrottleInterval)) {
		return
	}
	r.orderedPercent, r.throttledAt = want, now
	p.counts.Paces++
	plan.Throttles = append(plan.Throttles, ThrottleOrder{
		Worker: r.worker.info.ID, Address: r.worker.info.Address, Task: r.id, Attempt: r.attempt, Percent: want, Token: p.callToken(r.worker),
	})
}

// throttleReplaced reports whether the worker shows another share than the last one
// ordered, which has had time to take effect: that order was lost, or an earlier one
// without an answer was carried out after it.
func (r *run) throttleReplaced() bool {
	return !r.throttledAt.IsZero() && r.percent != r.orderedPercent && r.reportedAt.After(r.throttledAt.Add(minThrottleInterval))
}

const (
	// maxTargetShare and minTargetShare bound the range in which the ratio of tail
	// latency to target should stay: best-effort runs are slowed down above it, and sped
	// up below it.
	maxTargetShare = 0.85
	minTargetShare = 0.6
	// throttleStepPercent is by how much one order speeds up a best-effort run.
	throttleStepPercent = 20
	// throttlePlanInterval is the time between two checks of all runs. It is short
	// compared with minThrottleInterval.
	throttlePlanInterval = 50 * time.Millisecond
	// minThrottleInterval is the least time between two throttles of a run: the platform
	// measures the tail latency over half a second.
	minThrottleInterval = 600 * time.Millisecond
)
