package message

// InstanceRequest is the request to move, drain or undrain an instance.
type InstanceRequest struct {
	Operator string `json:"operator"`
	Target   string `json:"target,omitempty"` // pool to which the instance is moved
	Force    bool   `json:"force"`            // also when it violates an availability budget
}
