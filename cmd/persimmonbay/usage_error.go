package main

// usageError says that a command was called wrongly.
type usageError struct{ expected string }

// Error says what was expected.
func (e *usageError) Error() string { return e.expected }
