package upstream

// Load counts the requests and connections of the stand-in.
type Load struct {
	CutOff          int `json:"cutOff"`          // requests aborted by a reboot
	Requests        int `json:"requests"`        // received so far
	AtWork          int `json:"atWork"`          // requests in progress
	MostAtWork      int `json:"mostAtWork"`      // maximum of AtWork
	Connections     int `json:"connections"`     // open connections
	MostConnections int `json:"mostConnections"` // maximum of Connections
}
