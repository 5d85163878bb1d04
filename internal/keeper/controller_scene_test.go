package keeper

import "persimmonbay/internal/workconfig"

// newControllerScene returns a scene with machines, and a machine controller that has
// just taken it over.
func newControllerScene() (*ownershipScene, *machineController) {
	s := newOwnershipScene()
	s.keeper.Operators = fakeOperators{}
	s.machines = &fakeMachines{}
	s.keeper.Machines = s.machines
	s.keeper.config = workconfig.NewInForce()
	s.keeper.fleet.Update(func(v fleetView) (fleetView, bool) {
		v.home = map[string]int{sceneService: 2}
		return v, true
	})
	return s, newMachineController(s.own())
}
