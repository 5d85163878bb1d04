package maintenance

// Reboot is what is known of one reboot under way.
type Reboot struct {
	Attempt  int    `json:"attempt"`            // counted from 1
	Wave     string `json:"wave"`               // on whose behalf
	Accepted bool   `json:"accepted,omitempty"` // the platform has taken the request
	SeenDown bool   `json:"seenDown,omitempty"` // the platform's list has shown the instance not live since
}
