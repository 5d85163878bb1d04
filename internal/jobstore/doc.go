// Package jobstore stores jobs in the platform's store. Jobs are sharded by the
// hash of their IDs and each shard is one value, so that a change of many jobs
// costs at most one write per shard. Every write is a compare-and-swap.
package jobstore
