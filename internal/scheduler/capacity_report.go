package scheduler

// CapacityReport states how many machines a pool needs and which it can spare.
type CapacityReport struct {
	Need     int        // number of further machines that the pool could use now
	ToGiveUp int        // number of machines that the pool has to give up
	Load     Load       // the load from which the rest was decided
	Offers   []string   // machines that other pools may take: nothing runs there and nothing will start
	TakeBack []string   // machines in Offers that waiting tasks need: their offers are to be withdrawn, whatever Need is
	Kinds    []KindNeed // further machines of certain kinds that waiting tasks need, not counted in Need
}
