package test

// The specs run the built binary, which the test cache does not track. These
// imports invalidate cached results when a package of the binary has changed.
import (
	_ "persimmonbay/internal/entry"
	_ "persimmonbay/internal/standin/platform"
	_ "persimmonbay/internal/standin/upstream"
)
