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
// The machine controller is the one entry that orders upkeep and moves of machines.
// That role has an owner in the same way as a pool.
package poolmanager
