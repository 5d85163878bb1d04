package scheduler

// CapacityReport is what a pool says of its machines.
type CapacityReport struct {
	Need     int      // more machines that would be of use now
	ToGiveUp int      // machines that the pool has to give up
	Load     Load     // that it was decided by
	Offers   []string // machines on which nothing runs and nothing will start
}
