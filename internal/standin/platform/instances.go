package platform

import (
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// keptVersions bounds the history of one instance.
const keptVersions = 16

// Instances is the platform's list of instances with its lag.
type Instances struct {
	clock    clockwork.Clock
	versions *shard.Map[string, []instanceVersion] // newest last
}

// NewInstances returns an empty list.
func NewInstances(clock clockwork.Clock) *Instances {
	return &Instances{clock: clock, versions: shard.NewMap[string, []instanceVersion]()}
}

// Put adds or replaces an instance.
func (l *Instances) Put(instance fleet.Instance) {
	l.record(instance.ID, instanceVersion{instance: instance})
}

// Remove takes an instance off the list.
func (l *Instances) Remove(id string) { l.record(id, instanceVersion{gone: true}) }

// current returns an instance as it is now, without the list's lag.
func (l *Instances) current(id string) (fleet.Instance, bool) {
	versions, _ := l.versions.Get(id)
	if len(versions) == 0 || versions[len(versions)-1].gone {
		return fleet.Instance{}, false
	}
	return versions[len(versions)-1].instance, true
}

// SetState changes an instance's state and reports whether it is listed.
func (l *Instances) SetState(id string, state fleet.InstanceState) bool {
	instance, listed := l.current(id)
	if !listed {
		return false
	}
	instance.State = state
	l.Put(instance)
	return true
}

func (l *Instances) record(id string, version instanceVersion) {
	version.at = l.clock.Now()
	l.versions.Update(id, func(old []instanceVersion, _ bool) ([]instanceVersion, bool) {
		if len(old) >= keptVersions {
			old = old[1:]
		}
		return append(append([]instanceVersion(nil), old...), version), true
	})
}

// List returns the instances as they were lag ago, ordered by ID.
func (l *Instances) List(lag time.Duration) []fleet.Instance {
	then := l.clock.Now().Add(-lag)
	list := []fleet.Instance{}
	l.versions.Range(func(_ string, versions []instanceVersion) bool {
		if v, ok := versionAt(versions, then); ok && !v.gone {
			list = append(list, v.instance)
		}
		return true
	})
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func versionAt(versions []instanceVersion, then time.Time) (instanceVersion, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].at.After(then) {
			return versions[i], true
		}
	}
	return instanceVersion{}, false
}
