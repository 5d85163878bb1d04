// Package upkeep decides which machines of a wave are emptied and taken down
// next. It does no encoding and no I/O and reads no clock.
package upkeep
