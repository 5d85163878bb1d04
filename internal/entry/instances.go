package entry

import (
	"context"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/telemetry"
)

// pollInstances reads the platform's list until ctx ends. When the platform
// does not answer, the latest list stays in use.
func (e *Entry) pollInstances(ctx context.Context) {
	client := e.platform.For(platform.PurposeInstances)
	for {
		list, err := client.Instances(ctx)
		if err == nil {
			e.instances.Update(func([]fleet.Instance) ([]fleet.Instance, bool) { return list, true })
			e.control.router.refresh()
		} else if ctx.Err() == nil {
			e.log.Warn("list of instances not read", telemetry.ProblemFields(err)...)
		}
		select {
		case <-e.clock.After(e.settings.Limits.InstancesEvery):
		case <-ctx.Done():
			return
		}
	}
}
