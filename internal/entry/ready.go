package entry

import (
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/problem"
)

// Ready implements operator.Backend. An entry that can reach neither the store
// nor a peer may have missed a configuration and is not ready; nor is one that
// can't send work to the pools that the configuration names.
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
		return problem.New(problem.Unavailable, problem.StepConfiguration, "", "neither the platform nor a peer can be reached; look at the network of this entry and at the platform's store")
	}
	if obstacle := e.control.readiness(configured).Obstacle(); obstacle != "" {
		return problem.New(problem.Unavailable, problem.StepRoute, "", obstacle)
	}
	return nil
}

// readiness returns what this entry knows of the pools that it is to serve. At
// first a record counts once requests are placed by it; later a record that was
// just rewritten must not make the entry unready.
func (c *control) readiness(configured *configuration.Configuration) maintenance.Readiness {
	list, following, taken := c.entry.inventory.Get(), c.router.following(), c.entry.slots.taken.Get()
	served := c.served.Get()
	placed := func(id string) (maintenance.Record, bool) {
		r, known := c.view.Record(id)
		return r, known && (served || r.Version <= taken.revision)
	}
	assigned, unassigned := maintenance.PoolAssignment(list.Instances, placed, maintenance.ServicePools(configured))
	if len(assigned) > 0 && len(unassigned) == 0 {
		c.served.Update(func(old bool) (bool, bool) { return true, !old })
	}
	r := maintenance.Readiness{
		ListKnown: list.Stamp.Generation > 0, MayAct: c.mayAct(following.revision),
		Assigned: assigned, Unassigned: unassigned,
	}
	if !following.known.IsZero() {
		r.Waited = c.entry.clock.Since(following.known)
	}
	return r
}
