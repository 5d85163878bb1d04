// Package shard provides the concurrent state of the whole program: values
// spread over shards, each under its own lock. No lock of this package is held
// while another is taken, except in the callbacks' own callers, who must not
// call back into the same container.
package shard
