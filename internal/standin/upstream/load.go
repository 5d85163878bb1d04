package upstream

// Load counts the requests and connections of the stand-in.
type Load struct {
	Aborted         int `json:"cutOff"`          // requests aborted by a reboot
	Requests        int `json:"requests"`        // received so far
	InFlight        int `json:"atWork"`          // requests in progress
	MaxInFlight     int `json:"mostAtWork"`      // maximum of InFlight
	Connections     int `json:"connections"`     // open connections
	MostConnections int `json:"mostConnections"` // maximum of Connections
}
