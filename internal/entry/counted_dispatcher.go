package entry

import "persimmonbay/internal/request"

// countedDispatcher counts the requests that another dispatcher places. It runs
// the hook before ahead of each placement.
type countedDispatcher struct {
	next   request.Dispatcher
	work   *workCounter
	before func()
}
