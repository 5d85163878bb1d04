package dispatch

import (
	"context"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	"persimmonbay/internal/routing"
	"persimmonbay/internal/shard"
)

// Dispatcher places each request at once on the less loaded of two instances.
type Dispatcher struct {
	table  *routing.Table
	atWork *shard.Map[string, int] // requests at work by instance
}

var _ request.Dispatcher = (*Dispatcher)(nil)

// New returns a dispatcher over table.
func New(table *routing.Table) *Dispatcher {
	return &Dispatcher{table: table, atWork: shard.NewMap[string, int]()}
}

// Acquire implements request.Dispatcher.
func (d *Dispatcher) Acquire(_ context.Context, _ *request.Request, service *configuration.Service, tried []string) (request.Placement, error) {
	instance, ok := routing.Pick(d.table.Candidates(service.Name), tried, d.load)
	if !ok {
		return request.Placement{}, problem.New(problem.Unavailable, problem.StepRoute, service.Name, "no live instance of the service is left to try")
	}
	d.add(instance.ID, 1)
	release := func(request.Feedback) { d.add(instance.ID, -1) }
	return request.Placement{Instance: instance, Release: release}, nil
}

func (d *Dispatcher) load(id string) int {
	n, _ := d.atWork.Get(id)
	return n
}

func (d *Dispatcher) add(id string, change int) {
	d.atWork.Update(id, func(n int, _ bool) (int, bool) { return n + change, n+change > 0 })
}
