// Package poolmanager runs the pools that this entry owns: it renews the entry's
// lease in the store, takes over pools without an owner, carries out what package
// scheduler decides, and saves the progress of jobs in the store. It reaches
// workers, the platform's store and machines through the narrow interfaces
// declared here.
//
// An entry is one running process of this program. A pool is all workers of one
// service. One entry at a time owns a pool: the owner's key in the store names the
// entry, ends with the entry's lease, and its revision is the fencing token that
// goes out with every order. A worker refuses orders with an older token.
//
// A worker runs on a machine of the platform. The machine controller is the one entry
// that orders the upkeep of machines, which operators request in waves, and their
// moves between pools. That role has an owner in the same way as a pool.
//
// Pools and the machine controller communicate through keys in the store. A pool
// writes how many machines it needs and offers those that it can spare. The machine
// controller claims an offer, by writing the target pool into it, before it orders the
// move; it writes recalls, which are how many machines a pool has to give up, and
// requests to empty a machine before its upkeep, which the pool confirms.
package poolmanager
