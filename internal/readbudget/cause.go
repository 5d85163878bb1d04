package readbudget

// Cause says why a connection or a request was given up.
type Cause string

// The causes, as counters and log lines name them.
const (
	None         Cause = ""
	Memory       Cause = "memory"       // the bytes being read were used up, and it held most for longest
	Connections  Cause = "connections"  // the places for connections were used up, likewise
	HeadTooLarge Cause = "headTooLarge" // more bytes than a head may have
	HeadTooSlow  Cause = "headTooSlow"  // not whole in time
	BodyTooSlow  Cause = "bodyTooSlow"  // less progress than MinBodyProgress in BodyStall
	Idle         Cause = "idle"         // no request in time
)
