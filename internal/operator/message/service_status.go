package message

// ServiceStatus is the state of one service: its configuration, and its
// instances against its availability budget.
type ServiceStatus struct {
	Service            string  `json:"service"`
	Pool               string  `json:"pool"`
	AvailabilityBudget float64 `json:"availabilityBudget"` // share of instances that may be away at once
	Instances          int     `json:"instances"`
	Present            int     `json:"present"`
	Needed             int     `json:"needed"`
	Slots              int     `json:"slots"`
	Connections        int     `json:"connections"`
}
