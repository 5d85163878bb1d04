package fleet

// Instance is one machine as the platform lists it. The list lags.
type Instance struct {
	ID               string        `json:"id"`
	Kind             InstanceKind  `json:"kind"`
	Service          string        `json:"service"`
	Address          string        `json:"address"`
	AvailabilityZone string        `json:"availabilityZone"`
	Rack             string        `json:"rack"`
	State            InstanceState `json:"state"`
	Resources        Resources     `json:"resources,omitzero"` // of a worker
}
