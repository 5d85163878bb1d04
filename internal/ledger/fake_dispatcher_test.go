package ledger_test

import (
	"context"
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// fakeDispatcher places requests after a short wait and rejects the share shed of
// them.
type fakeDispatcher struct {
	entry  string
	shed   float64
	faults *faults
}

func (d *fakeDispatcher) Acquire(context.Context, *request.Request, *configuration.Service, []string) (request.Placement, error) {
	time.Sleep(time.Millisecond)
	d.faults.waitPaused(d.entry)
	if d.faults.chance(d.shed) {
		return request.Placement{}, problem.New(problem.Overloaded, problem.StepAdmit, "", "shed")
	}
	return request.Placement{Instance: fleet.Instance{ID: "upstream"}, Release: func(request.Feedback) {}}, nil
}
