package scheduler

// Counts are the totals of a pool under one owner. They are published as metrics under
// the names of the fields.
type Counts struct {
	Starts, Repeats, Stops, Paces    int64 // orders sent: starts, repeated starts, stops, throttles
	Done, FailedRuns, Lapsed, Broken int64 // ends of runs: done, failed, lease expired (reported, or assumed for an unreachable worker), gang broken or incomplete
	Completed, FailedJobs, Cancelled int64 // jobs that ended
	Refused                          int64 // starts refused because the worker's free capacity did not suffice
	Adopted, Lost, Reborn            int64 // runs taken over from a former owner, runs gone without a reported end, restarts of workers
	Suspended                        int64 // suspensions of workers
	Unadvised                        int64 // calls for advice whose answers granted no worker
	Untold                           int64 // events dropped because too many were waiting
}
