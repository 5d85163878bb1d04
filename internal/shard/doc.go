// Package shard provides containers for the program's concurrent state: values in
// shards, each under its own lock. Only Map.Snapshot takes several locks, in order.
// Update, GetOrCreate and Snapshot call back under a lock; such a callback must not
// use the same container.
package shard
