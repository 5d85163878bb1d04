package entry

import "persimmonbay/internal/request"

// countedDispatcher counts the placements of another dispatcher.
type countedDispatcher struct {
	next   request.Dispatcher
	work   *workCounter
	before func()
}
