package entry

import (
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/problem"
)

// Ready implements operator.Backend. An entry that can reach neither the store
// nor a peer may have missed a configuration and is not ready; nor is one that
// cannot place work in the pools that the configuration names.
func (e *Entry) Ready() error {
	h := e.health.Get()
	configured := e.inForce.Get().Configuration
	switch {
	case h.leaving:
		return problem.New(problem.Unavailable, problem.StepShutdown, "", "this entry is leaving")
	case configured == nil && !h.current():
		return problem.New(problem.Unavailable, problem.StepConfiguration, "", "no configuration is in force yet, and neither the platform nor a peer can be reached; peers.seeds in the settings lets an entry start without the platform")
	case configured == nil:
		return problem.New(problem.Unavailable, problem.StepConfiguration, "", "no configuration is in force yet; apply one with 'persimmonbay config apply'")
	case !h.current():
		return problem.New(problem.Unavailable, problem.StepConfiguration, "", "neither the platform nor a peer can be reached; check the network of this entry and the platform's store")
	}
	if obstacle := e.control.readiness(configured).Obstacle(); obstacle != "" {
		return problem.New(problem.Unavailable, problem.StepRoute, "", obstacle)
	}
	return nil
}

// readiness returns what this entry knows of the pools that it serves. After the
// start a record counts only once requests are placed by it. Once all pools are
// placed that condition ends, so that a rewritten record does not make the entry
// unready.
func (c *control) readiness(configured *configuration.Configuration) maintenance.Readiness {
	list, routed, placer := c.entry.inventory.Get(), c.router.current(), c.entry.slots.placerState.Get()
	allPlaced := c.allPoolsPlaced.Get()
	placed := func(id string) (maintenance.Record, bool) {
		r, known := c.view.Record(id)
		return r, known && (allPlaced || r.Version <= placer.revision)
	}
	assigned, unassigned := maintenance.PoolAssignment(list.Instances, placed, maintenance.ServicePools(configured))
	if len(assigned) > 0 && len(unassigned) == 0 {
		c.allPoolsPlaced.Update(func(old bool) (bool, bool) { return true, !old })
	}
	r := maintenance.Readiness{
		ListKnown: list.Stamp.Generation > 0, MayAct: c.mayAct(routed.revision),
		Assigned: assigned, Unassigned: unassigned,
	}
	if !routed.knownSince.IsZero() {
		r.WaitedFor = c.entry.clock.Since(routed.knownSince)
	}
	return r
}
