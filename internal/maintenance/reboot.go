package maintenance

// Reboot is the state of the reboot of one instance.
type Reboot struct {
	Attempt  int    `json:"attempt"`            // counted from 1
	Wave     string `json:"wave"`               // that reboots the instance
	Accepted bool   `json:"accepted,omitempty"` // the platform has accepted the request
	SeenDown bool   `json:"seenDown,omitempty"` // the platform's list has shown the instance not live since the request
}
