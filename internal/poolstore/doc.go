// Package poolstore defines how jobs and the ownership of pools are stored in the
// platform's store: the keys and the encoding of their values.
//
//	fleet/member/ENTRY      a running entry, under its lease
//	fleet/owner/SERVICE     the owner of the service's pool, under its lease
//	fleet/secret            the secret with which entries authenticate to each other
//	asked/empty/MACHINE     a machine to be emptied
//	fleet/home              the number of machines that belong to each pool
//	asked/recall/SERVICE    the number of machines that a pool has to give up
//	duty/need/SERVICE       the number of further machines that a pool needs
//	duty/offer/MACHINE      a machine that its pool can spare
//	upkeep/WAVE             the progress of a wave of upkeep
//	roster/SERVICE          the workers on which the owner's tasks may run
//	work/SERVICE/job/ID     an accepted job; deleted after its last run has ended
//	work/SERVICE/cancel/ID  the cancellation of a job
//	quota/TEAM              what each pool may have running for a team with a cap
//	work/SERVICE/owner      the pool's last change of owner
//	state/SERVICE/ID        the job's progress; it stays after the job's end
package poolstore
