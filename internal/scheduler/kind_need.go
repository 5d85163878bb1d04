package scheduler

// KindNeed is a need for further machines of a certain kind.
type KindNeed struct {
	Label    string    // that the machine must have; empty: any
	Capacity Resources // that the machine must have at least
	Count    int       // number of machines
}
