package poolmanager

// MachineOrder identifies the machine controller that sends an order.
type MachineOrder struct {
	Controller string // name of the entry
	Token      int64  // fencing token of the machine controller role
	Permitted  Permission
}
