package keeper

import "persimmonbay/internal/workconfig"

// newDutyScene returns a scene with machines, and a holder of their duty that has
// just taken it over.
func newDutyScene() (*tenureScene, *duty) {
	s := newTenureScene()
	s.keeper.Operators = fakeOperators{}
	s.machines = &fakeMachines{}
	s.keeper.Machines = s.machines
	s.keeper.config = workconfig.NewInForce()
	s.keeper.fleet.Update(func(v fleetView) (fleetView, bool) {
		v.home = map[string]int{sceneService: 2}
		return v, true
	})
	return s, newDuty(s.own())
}
