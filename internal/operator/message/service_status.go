package message

// ServiceStatus is one service and how it stands against its budget.
type ServiceStatus struct {
	Service            string  `json:"service"`
	Pool               string  `json:"pool"`
	AvailabilityBudget float64 `json:"availabilityBudget"` // share of instances that may be away
	Instances          int     `json:"instances"`
	Present            int     `json:"present"`
	Needed             int     `json:"needed"`
	Slots              int     `json:"slots"`
	Connections        int     `json:"connections"`
}
