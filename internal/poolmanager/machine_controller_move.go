package poolmanager

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
	"persimmonbay/internal/upkeep"
)

// moveAll orders moves side by side, and takes in their answers. The machines
// count as moving from then on, whatever the answer, so that no upkeep follows.
func (d *machineController) moveAll(ctx context.Context, moves []lending.Move, machines map[string]upkeep.Machine) {
	answers := make([]error, len(moves))
	var group errgroup.Group
	group.SetLimit(movesAtOnce)
	for i, m := range moves {
		group.Go(func() error {
			answers[i] = d.move(ctx, m)
			return nil
		})
	}
	_ = group.Wait() // the answers are in their own list
	for i, m := range moves {
		d.moved(ctx, m, answers[i])
		machine := machines[m.Machine]
		machine.State = upkeep.Moving
		machines[m.Machine] = machine
	}
}

// movesAtOnce is how many moves are ordered at once: the platform takes a few
// dozen orders a second.
const movesAtOnce = 8

func (d *machineController) move(ctx context.Context, m lending.Move) error {
	if !d.holds() {
		return problem.New(problem.Unavailable, problem.StepLease, m.Machine, "the duty may have ended")
	}
	limited, cancel := context.WithTimeout(ctx, d.timing.OrderTimeout)
	defer cancel()
	return d.Machines.Move(limited, m.Machine, m.Target, MachineOrder{Controller: d.entryID, Token: d.token})
}

func (d *machineController) moved(ctx context.Context, m lending.Move, err error) {
	if err == nil {
		d.log.Info("machine moved", zap.String("machine", m.Machine), zap.String("target", m.Target))
		d.inTransit[m.Machine] = &inTransit{target: m.Target, ordered: d.Clock.Now()}
		return
	}
	d.log.Info("machine not moved", append(telemetry.ProblemFields(err), zap.String("machine", m.Machine))...)
	if !problem.Is(err, problem.NotFound) {
		return
	}
	if _, err := d.commitOwn(ctx, store.Txn{Deletes: []string{poolstore.OfferKey(m.Machine)}}); err != nil {
		d.log.Info("offer not given back", telemetry.ProblemFields(err)...)
	}
}
