package operator

import (
	"context"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/operator/message"
)

// FleetBackend is what the operators' API needs of an entry for instances, pools,
// moves, drains and maintenance waves. Errors are *problem.Error.
type FleetBackend interface {
	Instances() []message.InstanceStatus
	Pools() []message.PoolStatus
	Services() []message.ServiceStatus
	Teams() []message.TeamStatus
	Move(ctx context.Context, instance string, in message.InstanceRequest) error
	Drain(ctx context.Context, instance string, in message.InstanceRequest) error
	Undrain(ctx context.Context, instance string, in message.InstanceRequest) error
	Wave() maintenance.Progress
	StartWave(ctx context.Context, in message.WaveRequest) (maintenance.Wave, error)
	SetWaveState(ctx context.Context, state maintenance.WaveState) (maintenance.Wave, error)
}
