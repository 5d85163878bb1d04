package poolmanager

import (
	"context"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
)

// pausedClients is a client of workers and machines whose process is paused before it
// sends an order. It sends the order if it is still permitted then.
type pausedClients struct {
	fakeWorkers
	fakeMachines
	pause func()
	sent  int
}

func (c *pausedClients) send(permitted Permission) bool {
	c.pause()
	if !permitted() {
		return false
	}
	c.sent++
	return true
}

func (c *pausedClients) order(permitted Permission) scheduler.OrderResult {
	if c.send(permitted) {
		return scheduler.Accepted
	}
	return scheduler.NotReached
}

func (c *pausedClients) machineOrder(o MachineOrder) error {
	if c.send(o.Permitted) {
		return nil
	}
	return problem.New(problem.Unavailable, problem.StepReboot, "", "not permitted any more")
}

// Start implements Workers.
func (c *pausedClients) Start(_ context.Context, _ scheduler.StartOrder, p Permission) (scheduler.OrderResult, int64) {
	return c.order(p), 1
}

// Stop implements Workers.
func (c *pausedClients) Stop(_ context.Context, _ scheduler.StopOrder, p Permission) scheduler.OrderResult {
	return c.order(p)
}

// Throttle implements Workers.
func (c *pausedClients) Throttle(_ context.Context, _ scheduler.ThrottleOrder, p Permission) scheduler.OrderResult {
	return c.order(p)
}

// Upkeep implements Machines.
func (c *pausedClients) Upkeep(_ context.Context, _ string, _ int64, o MachineOrder) error {
	return c.machineOrder(o)
}

// Move implements Machines.
func (c *pausedClients) Move(_ context.Context, _, _ string, o MachineOrder) error {
	return c.machineOrder(o)
}
