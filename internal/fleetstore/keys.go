package fleetstore

// Keys in the platform's store. One prefix holds them all, so that one watch
// gives them in the order of their revisions.
const (
	Prefix         = "persimmonbay/maintenance/"
	recordsPrefix  = Prefix + "instances/"
	disruptionsKey = Prefix + "disruptions"
	waveKey        = Prefix + "wave"
	rosterKey      = Prefix + "roster"
)

func recordKey(instance string) string { return recordsPrefix + instance }
