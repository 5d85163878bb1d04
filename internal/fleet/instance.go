package fleet

// Instance is one machine in the platform's list. The list shows changes with a
// delay.
type Instance struct {
	ID               string        `json:"id"`
	Kind             InstanceKind  `json:"kind"`
	Service          string        `json:"service"`
	Address          string        `json:"address"`
	AvailabilityZone string        `json:"availabilityZone"`
	Rack             string        `json:"rack"`
	State            InstanceState `json:"state"`
	Resources        Resources     `json:"resources,omitzero"` // of a worker; otherwise zero
}
