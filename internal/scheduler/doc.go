// Package scheduler decides what the workers of one pool do: which task starts
// on which worker, which run is stopped or throttled, and which progress has to be
// saved before the end of a run is acknowledged to its worker.
//
// The package does no I/O, encodes nothing and reads no clock. Callers pass in the
// platform's lists, the workers' replies and the current time, and carry out the
// orders that Pool.Plan returns. Each Pool is one shard of the state and has its
// own lock.
//
// A job consists of occurrences (it may repeat), an occurrence of steps, and a step
// of tasks that are alike. A run is one attempt of a task on a worker. A worker goes
// on with a run only until the run's lease expires; lease polls extend it.
//
// A pool has one owner at a time. Its fencing token is the store revision at which it
// acquired the pool, so the token rises with each owner. Workers refuse orders with a
// lower token than they have seen. A job that was accepted at a lower store revision
// than the token may have been started by a former owner. The epoch is the number of
// the ownership. An incarnation is one start of a worker's process.
package scheduler
