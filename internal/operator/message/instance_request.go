package message

// InstanceRequest asks to move, drain or undrain an instance.
type InstanceRequest struct {
	Operator string `json:"operator"`
	Target   string `json:"target,omitempty"` // pool of a move
	Force    bool   `json:"force"`            // also where the budget has no room
}
