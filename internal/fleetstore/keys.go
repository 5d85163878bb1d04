package fleetstore

// Keys in the platform's store. They share one prefix, so that one watch returns
// all changes in the order of their revisions.
const (
	Prefix         = "persimmonbay/maintenance/"
	recordsPrefix  = Prefix + "instances/"
	disruptionsKey = Prefix + "disruptions"
	waveKey        = Prefix + "wave"
	rosterKey      = Prefix + "roster"
)

func recordKey(instance string) string { return recordsPrefix + instance }
