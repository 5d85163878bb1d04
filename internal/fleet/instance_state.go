package fleet

// InstanceState is the platform's word on an instance.
type InstanceState string

const (
	// Live instances may receive new work.
	Live InstanceState = "live"
	// Leaving instances finish what they have and receive no new work.
	Leaving InstanceState = "leaving"
)
