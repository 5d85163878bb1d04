package maintenance

import (
	"fmt"

	"persimmonbay/internal/problem"
)

// RequestMove returns the disruptions with an operator's move of an instance to
// another pool. It fails with problem.NotFound for an unknown pool and with
// problem.Conflict if the instance is in that pool already. Without force it
// also fails with problem.Conflict if the budget of the instance's present pool
// allows none to leave.
func RequestMove(s *Snapshot, instance, target, by string, force bool) (Disruptions, error) {
	r, err := s.operable(instance)
	if err != nil {
		return Disruptions{}, err
	}
	if !s.hasPool(target) {
		return Disruptions{}, problem.New(problem.NotFound, problem.StepPlan, target, "no such pool; 'pool list' shows them and 'pool create' makes one")
	}
	if r.Pool == target && r.Home == target {
		return Disruptions{}, problem.New(problem.Conflict, problem.StepPlan, instance, "the instance is in pool "+target+" already")
	}
	return s.reserve(r, Reservation{Kind: ForMove, Target: target, By: by}, force)
}

// RequestDrain returns the disruptions with an operator's drain of an instance,
// which lasts until RequestUndrain. Without force it fails with
// problem.Conflict if the pool's budget allows none to leave.
func RequestDrain(s *Snapshot, instance, by string, force bool) (Disruptions, error) {
	r, err := s.operable(instance)
	if err != nil {
		return Disruptions{}, err
	}
	if v, reserved := s.Disruptions.Find(instance); reserved && v.Kind == ForDrain {
		return Disruptions{}, problem.New(problem.Conflict, problem.StepPlan, instance, "the instance is already drained by "+v.By)
	}
	return s.reserve(r, Reservation{Kind: ForDrain, By: by}, force)
}

// RequestUndrain returns the disruptions in which a drained instance is
// reserved for its return. It fails with problem.Conflict if the instance is not
// drained by an operator.
func RequestUndrain(s *Snapshot, instance, by string) (Disruptions, error) {
	r, err := s.operable(instance)
	if err != nil {
		return Disruptions{}, err
	}
	v, reserved := s.Disruptions.Find(instance)
	if !reserved || v.Kind != ForDrain {
		return Disruptions{}, problem.New(problem.Conflict, problem.StepPlan, instance, "the instance is not drained")
	}
	return s.Disruptions.With(Reservation{Instance: instance, Pool: r.Pool, Kind: ForReturn, By: by, Since: s.Now}), nil
}

// operable returns the record of an instance that an operator may change now. It
// fails with problem.NotFound for an unknown instance, and with problem.Conflict
// while the instance is reserved for anything but a drain.
func (s *Snapshot) operable(instance string) (Record, error) {
	r, known := s.Records[instance]
	if !known {
		return r, problem.New(problem.NotFound, problem.StepPlan, instance, "no such instance; 'instance list' shows them")
	}
	v, reserved := s.Disruptions.Find(instance)
	if reserved && v.Kind != ForDrain {
		return r, problem.New(problem.Conflict, problem.StepPlan, instance, "the instance is reserved for a "+string(v.Kind)+" by "+v.Owner()+"; try again once that has ended")
	}
	return r, nil
}

// Owner returns who made the reservation, an operator or a wave.
func (v Reservation) Owner() string {
	if v.By != "" {
		return v.By
	}
	return "wave " + v.Wave
}

// reserve returns the disruptions with a reservation of the instance of r.
// Without force it fails with problem.Conflict if the budget allows none to
// leave.
func (s *Snapshot) reserve(r Record, v Reservation, force bool) (Disruptions, error) {
	_, drained := s.Disruptions.Find(r.Instance)
	t := PoolCounts(s)[r.Pool]
	if !force && !drained && s.live(r.Instance) && t.Free() <= 0 {
		return Disruptions{}, problem.New(problem.Conflict, problem.StepPlan, r.Instance,
			fmt.Sprintf("pool %s would break its availability budget: %d instances serve and it needs %d; wait, or repeat with -force", r.Pool, t.Present, t.Needed))
	}
	v.Instance, v.Pool, v.Since = r.Instance, r.Pool, s.Now
	return s.Disruptions.With(v), nil
}

func (s *Snapshot) hasPool(name string) bool {
	for _, b := range s.Budgets {
		if b.Pool == name {
			return true
		}
	}
	return false
}
