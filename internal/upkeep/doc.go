// Package upkeep decides which machines of a wave are emptied and taken down
// next. It knows no encoding, transport or clock.
package upkeep
