// Package poolstore defines how jobs and the ownership of pools are stored in the
// platform's store: the keys, and the encoding of their values.
//
//	fleet/member/ENTRY    an entry that is alive, under its lease
//	fleet/owner/SERVICE   who owns the service's pool, under its lease
//	asked/empty/MACHINE   a machine that is to be emptied
//	fleet/home            how many machines are each pool's own
//	asked/recall/SERVICE  how many machines a pool has to give up
//	duty/need/SERVICE     how many more machines a pool could use
//	duty/offer/MACHINE    a machine that its pool can spare
//	upkeep/WAVE           the course of a wave of upkeep
//	roster/SERVICE        workers on which the owner's tasks may run
//	work/SERVICE/job/ID   an accepted job; removed once nothing of it runs
//	work/SERVICE/cancel/ID
//	state/SERVICE/ID      the job's progress, still there after its end
package poolstore
