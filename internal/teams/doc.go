// Package teams decides in which order the teams that share a pool are served while it is
// full: what a team sends beyond its weight goes last, and a team that was given more than
// its weighted share of the pool's work goes after those that were given less.
//
// The package does no I/O and reads no clock. An Order is the state of one pool and is
// guarded by the pool's lock.
package teams
