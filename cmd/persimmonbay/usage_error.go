package main

// usageError reports that a command has wrong flags or arguments.
type usageError struct{ expected string }

// Error returns what was expected.
func (e *usageError) Error() string { return e.expected }
