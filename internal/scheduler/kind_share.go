package scheduler

// kindShare is a need for machines of a kind, as in KindNeed, in parts of a machine.
type kindShare struct {
	label    string
	capacity Resources
	machines float64
}
