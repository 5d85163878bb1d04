package scheduler

// Counts sums up what a pool has done under one owner.
type Counts struct {
	Starts, Repeats, Stops, Paces    int64 // orders
	Done, FailedRuns, Lapsed, Broken int64 // ends
	Completed, FailedJobs, Cancelled int64 // jobs
	Refused                          int64 // starts refused for want of room
	Adopted, Lost, Reborn            int64 // runs taken over, runs gone without an end, incarnations of workers that ended
	Suspended                        int64 // workers taken out for failing what they ran
	Untold                           int64 // events that were dropped
}
