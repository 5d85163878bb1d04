package wire

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/inventory"
)

// FromStamp converts a stamp that is sent at now to its message. The time at
// which the list was read is sent as an age, so that the clocks of two entries
// need not agree.
func FromStamp(s inventory.Stamp, now time.Time) *InstancesStamp {
	return &InstancesStamp{Generation: s.Generation, Digest: s.Digest, AgeMillis: uint64(max(now.Sub(s.ReadAt).Milliseconds(), 0))}
}

// ToStamp converts a message that was received at now to a stamp.
func ToStamp(m *InstancesStamp, now time.Time) inventory.Stamp {
	return inventory.Stamp{
		Generation: m.GetGeneration(),
		Digest:     m.GetDigest(),
		ReadAt:     now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond),
	}
}

// FromInstances converts a list of instances to its message.
func FromInstances(l inventory.List, now time.Time) *Instances {
	return &Instances{Stamp: FromStamp(l.Stamp, now), Tag: l.Tag, Instances: fromInstances(l.Instances)}
}

// ToInstances converts a message to a list of instances.
func ToInstances(m *Instances, now time.Time) inventory.List {
	return inventory.List{Stamp: ToStamp(m.GetStamp(), now), Tag: m.GetTag(), Instances: toInstances(m.GetInstances())}
}

// FromDifference converts the changes between two lists to their message.
func FromDifference(d inventory.Difference, now time.Time) *Instances {
	return &Instances{Stamp: FromStamp(d.Stamp, now), Tag: d.Tag, Base: FromStamp(d.Base, now), Instances: fromInstances(d.Changed), Removed: d.Removed}
}

// ToDifference converts a message that has a base to the changes since that
// base.
func ToDifference(m *Instances, now time.Time) inventory.Difference {
	return inventory.Difference{Base: ToStamp(m.GetBase(), now), Stamp: ToStamp(m.GetStamp(), now), Tag: m.GetTag(), Changed: toInstances(m.GetInstances()), Removed: m.GetRemoved()}
}

func fromInstances(list []fleet.Instance) []*Instance {
	messages := make([]*Instance, len(list))
	for i, in := range list {
		messages[i] = &Instance{
			Id: in.ID, Kind: string(in.Kind), Service: in.Service, Address: in.Address,
			AvailabilityZone: in.AvailabilityZone, Rack: in.Rack, State: string(in.State),
			MilliCores: int64(in.Resources.MilliCores), MemoryMb: int64(in.Resources.MemoryMB), Accelerators: int64(in.Resources.Accelerators),
		}
	}
	return messages
}

func toInstances(messages []*Instance) []fleet.Instance {
	list := make([]fleet.Instance, len(messages))
	for i, in := range messages {
		list[i] = fleet.Instance{
			ID: in.GetId(), Kind: fleet.InstanceKind(in.GetKind()), Service: in.GetService(), Address: in.GetAddress(),
			AvailabilityZone: in.GetAvailabilityZone(), Rack: in.GetRack(), State: fleet.InstanceState(in.GetState()),
			Resources: fleet.Resources{MilliCores: int(in.GetMilliCores()), MemoryMB: int(in.GetMemoryMb()), Accelerators: int(in.GetAccelerators())},
		}
	}
	return list
}
