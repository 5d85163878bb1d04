package entry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/operator"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/problem"
)

var _ operator.FleetBackend = (*Entry)(nil)

// Bounds of an operator's change that conflicts with other writes.
const (
	changeAttempts = 10
	changeWait     = 500 * time.Millisecond // until the view shows the other write
)

// Move implements operator.FleetBackend.
func (e *Entry) Move(ctx context.Context, instance string, in message.InstanceRequest) error {
	return e.control.changeDisruptions(ctx, instance, func(s *maintenance.Snapshot) (maintenance.Disruptions, error) {
		return maintenance.RequestMove(s, instance, in.Target, in.Operator, in.Force)
	})
}

// Drain implements operator.FleetBackend.
func (e *Entry) Drain(ctx context.Context, instance string, in message.InstanceRequest) error {
	return e.control.changeDisruptions(ctx, instance, func(s *maintenance.Snapshot) (maintenance.Disruptions, error) {
		return maintenance.RequestDrain(s, instance, in.Operator, in.Force)
	})
}

// Undrain implements operator.FleetBackend.
func (e *Entry) Undrain(ctx context.Context, instance string, in message.InstanceRequest) error {
	return e.control.changeDisruptions(ctx, instance, func(s *maintenance.Snapshot) (maintenance.Disruptions, error) {
		return maintenance.RequestUndrain(s, instance, in.Operator)
	})
}

// StartWave implements operator.FleetBackend.
func (e *Entry) StartWave(ctx context.Context, in message.WaveRequest) (maintenance.Wave, error) {
	wanted := maintenance.Wave{ID: uuid.NewString(), Pools: in.Pools, Strategy: in.Strategy, MaxDown: in.MaxDown, By: in.Operator}
	return e.control.changeWave(ctx, func(s *maintenance.Snapshot) (maintenance.Wave, error) { return maintenance.RequestWave(s, wanted) })
}

// SetWaveState implements operator.FleetBackend.
func (e *Entry) SetWaveState(ctx context.Context, state maintenance.WaveState) (maintenance.Wave, error) {
	return e.control.changeWave(ctx, func(s *maintenance.Snapshot) (maintenance.Wave, error) {
		return maintenance.RequestWaveState(s, state)
	})
}

func (c *control) changeDisruptions(ctx context.Context, instance string, change func(*maintenance.Snapshot) (maintenance.Disruptions, error)) error {
	return c.change(ctx, func(s *maintenance.Snapshot) error {
		d, err := change(s)
		if err != nil {
			return err
		}
		_, err = c.store.SaveDisruptions(ctx, d)
		if !outcomeUnknown(err) {
			return err
		}
		stored, readErr := c.store.LoadDisruptions(ctx)
		wanted, _ := d.Find(instance)
		found, _ := stored.Find(instance)
		if readErr == nil && found.Kind == wanted.Kind && found.By == wanted.By && found.Since.Equal(wanted.Since) {
			return nil
		}
		return err
	})
}

func (c *control) changeWave(ctx context.Context, change func(*maintenance.Snapshot) (maintenance.Wave, error)) (maintenance.Wave, error) {
	var wave maintenance.Wave
	err := c.change(ctx, func(s *maintenance.Snapshot) error {
		var err error
		if wave, err = change(s); err != nil {
			return err
		}
		_, err = c.store.SaveWave(ctx, wave)
		if !outcomeUnknown(err) {
			return err
		}
		stored, readErr := c.store.LoadWave(ctx)
		if readErr == nil && stored.ID == wave.ID && stored.State == wave.State {
			return nil
		}
		return err
	})
	return wave, err
}

// change calls try with a new snapshot until its write meets no conflict, at
// most changeAttempts times. A conflict that package maintenance finds in the
// request itself is returned at once.
func (c *control) change(ctx context.Context, try func(*maintenance.Snapshot) error) error {
	var err error
	for range changeAttempts {
		changed := c.view.Changed()
		s, known := c.snapshot()
		if !known {
			return problem.New(problem.Unavailable, problem.StepPlan, "", "the pools are not known to this entry yet: it has no configuration in force or has not read the records from the store")
		}
		if err = try(&s); !writeConflict(err) {
			return err
		}
		c.urgentReads.Update(func(n uint64) (uint64, bool) { return n + 1, true })
		select {
		case <-changed:
		case <-c.entry.clock.After(changeWait):
		case <-ctx.Done():
			return err
		}
	}
	return err
}

// writeConflict reports whether another write to the store came first.
func writeConflict(err error) bool {
	var p *problem.Error
	return problem.Is(err, problem.Conflict) && errors.As(err, &p) && p.Step == problem.StepStoreWrite
}

// outcomeUnknown reports whether a write that failed may have taken effect.
func outcomeUnknown(err error) bool {
	return problem.Is(err, problem.Interrupted) || problem.Is(err, problem.Timeout)
}
