package request

import (
	"context"
	"slices"
	"sync/atomic"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
)

// listedDispatcher places each request on the first instance that was not tried.
type listedDispatcher struct {
	instances []string
	held      atomic.Int64 // placements that are not released
}

// Acquire implements Dispatcher.
func (d *listedDispatcher) Acquire(_ context.Context, _ *Request, service *configuration.Service, tried []string) (Placement, error) {
	for _, id := range d.instances {
		if !slices.Contains(tried, id) {
			d.held.Add(1)
			return Placement{Instance: fleet.Instance{ID: id}, Release: func(Feedback) { d.held.Add(-1) }}, nil
		}
	}
	return Placement{}, problem.New(problem.Unavailable, problem.StepRoute, service.Name, "none left")
}
