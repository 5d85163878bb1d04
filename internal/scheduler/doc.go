// Package scheduler decides what the workers of one pool do: which task of which
// job starts where, what is stopped, and what has to be saved before the end of a
// task is acknowledged to its worker. It knows no encoding, transport or clock:
// facts and times go in, orders come out. Each Pool is one shard under its own
// lock.
package scheduler
