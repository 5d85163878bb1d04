// Package door decides whether an entry accepts a job that arrives, by the last report of the
// owner of its pool: a job that is nearly sure to end too late to be of use is refused at
// once, with the time after which there will be room.
//
// The package does no I/O and reads no clock. Its values are immutable.
package door
