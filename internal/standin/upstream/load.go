package upstream

// Load is what the stand-in has seen of its limits.
type Load struct {
	CutOff          int `json:"cutOff"`          // requests that met a reboot
	Requests        int `json:"requests"`        // taken so far
	AtWork          int `json:"atWork"`          // now
	MostAtWork      int `json:"mostAtWork"`      // ever
	Connections     int `json:"connections"`     // open now
	MostConnections int `json:"mostConnections"` // ever
}
