package maintenance

import "persimmonbay/internal/problem"

// DefaultMaxDown is the number of instances that a wave has out of service at
// most if its operator sets none.
const DefaultMaxDown = 32

// RequestWave returns the wave that an operator starts, with defaults filled
// in. It fails with problem.Conflict while another wave is open, with
// problem.Invalid for an unknown strategy and with problem.NotFound for an
// unknown pool.
func RequestWave(s *Snapshot, wanted Wave) (Wave, error) {
	if s.Wave.Open() {
		return Wave{}, problem.New(problem.Conflict, problem.StepPlan, s.Wave.ID, "a wave started by "+s.Wave.By+" is "+string(s.Wave.State)+"; cancel it or wait for its end")
	}
	if wanted.Strategy == "" {
		wanted.Strategy = Spread
	}
	if !wanted.Strategy.Known() {
		return Wave{}, problem.New(problem.Invalid, problem.StepPlan, string(wanted.Strategy), "expected the strategy spread, one, rack or zone")
	}
	for _, pool := range wanted.Pools {
		if !s.hasPool(pool) {
			return Wave{}, problem.New(problem.NotFound, problem.StepPlan, pool, "no such pool; 'pool list' shows them")
		}
	}
	if wanted.MaxDown <= 0 {
		wanted.MaxDown = DefaultMaxDown
	}
	wanted.State, wanted.Started, wanted.Version = WaveRunning, s.Now, s.Wave.Version
	return wanted, nil
}

// RequestWaveState returns the open wave in another state. It fails with
// problem.Conflict if no wave is open.
func RequestWaveState(s *Snapshot, state WaveState) (Wave, error) {
	w := s.Wave
	if !w.Open() {
		return Wave{}, problem.New(problem.Conflict, problem.StepPlan, w.ID, "no wave is open; 'wave start' starts one")
	}
	w.State = state
	if state == WaveCancelled {
		w.Finished = s.Now
	}
	return w, nil
}
