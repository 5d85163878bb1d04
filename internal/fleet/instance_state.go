package fleet

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

const (
	// Live instances may receive new work.
	Live InstanceState = "live"
	// Leaving instances finish their work and receive no new work.
	Leaving InstanceState = "leaving"
)
