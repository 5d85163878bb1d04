// Package jobstore keeps jobs in the platform's store: many in one value,
// sharded by the hash of the job's ID, so that a change of many jobs costs a
// write a shard. Every write is a compare-and-swap.
package jobstore
