package poolmanager

import "persimmonbay/internal/poolconfig"

// newControllerScene returns a scene with machines, and a machine controller that has
// just acquired its role.
func newControllerScene() (*ownershipScene, *machineController) {
	s := newOwnershipScene()
	s.manager.Operators = fakeOperators{}
	s.machines = &fakeMachines{}
	s.manager.Machines = s.machines
	s.manager.config = poolconfig.NewInForce()
	s.manager.fleet.Update(func(v fleetView) (fleetView, bool) {
		v.ownMachines = map[string]int{sceneService: 2}
		return v, true
	})
	return s, newMachineController(s.own())
}
