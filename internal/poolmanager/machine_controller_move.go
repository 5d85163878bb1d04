package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upkeep"
)

// moveAll orders moves concurrently and records the results. Whatever the result, it
// marks the machines as moving, so that no upkeep of them is ordered in this step.
func (c *machineController) moveAll(ctx context.Context, moves []lending.Move, machines map[string]upkeep.Machine) {
	errs := make([]error, len(moves))
	var group errgroup.Group
	group.SetLimit(maxConcurrentMoves)
	for i, m := range moves {
		errs[i] = problem.New(problem.Internal, problem.StepReboot, m.Machine, "the order ended with an unexpected error")
		group.Go(func() error {
			defer c.contain()
			errs[i] = c.move(ctx, m)
			return nil
		})
	}
	_ = group.Wait() // the errors are in errs
	for i, m := range moves {
		c.recordMove(ctx, m, errs[i])
		machine := machines[m.Machine]
		machine.State = upkeep.Moving
		machines[m.Machine] = machine
	}
}

// maxConcurrentMoves is how many moves are ordered at once: the platform accepts a
// few dozen orders a second.
const maxConcurrentMoves = 8

func (c *machineController) move(ctx context.Context, m lending.Move) error {
	if !c.isValid() {
		return problem.New(problem.Unavailable, problem.StepLease, m.Machine, "the machine controller role may have been lost")
	}
	limited, cancel := context.WithTimeout(ctx, c.timing.OrderTimeout)
	defer cancel()
	return c.Machines.Move(limited, m.Machine, m.Target, c.order())
}

func (c *machineController) recordMove(ctx context.Context, m lending.Move, err error) {
	if err == nil {
		c.log.Info("machine ordered into another pool", zap.String("machine", m.Machine), zap.String("target", m.Target))
		c.inTransit[m.Machine] = &inTransit{target: m.Target, ordered: c.Clock.Now()}
		return
	}
	c.log.Info("order to move a machine failed", append(telemetry.ProblemFields(err), zap.String("machine", m.Machine))...)
	if store.OutcomeUnknown(err) {
		c.unanswered[m.Machine] = c.Clock.Now()
	}
	if !problem.Is(err, problem.NotFound) {
		return
	}
	var txn store.Txn
	view := c.reports.Get()
	view.deleteClaim(&txn, m.Machine)
	if _, err := c.commitAsOwner(ctx, txn); err != nil {
		c.log.Info("offer of a machine unknown to the platform not deleted, trying again with the next step", telemetry.ProblemFields(err)...)
	}
}

// mayMoveLate reports whether a move of the machine that got no answer may still be carried
// out.
func (c *machineController) mayMoveLate(machine string) bool {
	at, found := c.unanswered[machine]
	if found && c.Clock.Now().Sub(at) < maxOrderDelay {
		return true
	}
	delete(c.unanswered, machine)
	return false
}

// maxOrderDelay is how long after an order without an answer the platform may still carry
// it out: a call may be executed seconds later (the platform's protocol).
const maxOrderDelay = 15 * time.Second
