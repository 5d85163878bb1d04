package controller_test

// countedCalls is a countingStore whose calls are counted for one purpose.
type countedCalls struct {
	*countingStore
	purpose string
}
