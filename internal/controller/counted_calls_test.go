package controller_test

// countedCalls are the calls made to a countingStore for one purpose.
type countedCalls struct {
	*countingStore
	purpose string
}
