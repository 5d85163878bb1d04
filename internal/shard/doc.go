// Package shard provides containers for the program's concurrent state: values in
// shards, each under its own lock. No lock of this package is held while another is
// taken, except that Map.Snapshot takes the locks of all shards, in order, and that
// Update, GetOrCreate and Snapshot call back under a lock. Such a callback may use
// other containers, but not the same one.
package shard
