package poolmanager

// MachineOrder says who orders a machine.
type MachineOrder struct {
	Controller string
	Token      int64 // fencing token
}
