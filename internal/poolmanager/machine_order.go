package poolmanager

// MachineOrder says who orders a machine.
type MachineOrder struct {
	Holder string
	Token  int64 // fencing token
}
