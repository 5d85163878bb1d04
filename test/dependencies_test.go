package test

// The specs run the built binary, of which the test cache knows nothing. The
// imports make it run them again when a package of the binary has changed.
import (
	_ "persimmonbay/internal/entry"
	_ "persimmonbay/internal/standin/platform"
	_ "persimmonbay/internal/standin/upstream"
)
