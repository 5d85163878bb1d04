package platform

import (
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/shard"
)

// maxVersions bounds the history of one instance.
const maxVersions = 16

// Instances is the platform's list of instances. It keeps the recent versions of
// each instance, so that it can be read as it was some time ago.
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

// Remove removes an instance from the list.
func (l *Instances) Remove(id string) { l.record(id, instanceVersion{deleted: true}) }

// current returns the latest version of an instance, and whether it is listed.
func (l *Instances) current(id string) (fleet.Instance, bool) {
	versions, _ := l.versions.Get(id)
	if len(versions) == 0 || versions[len(versions)-1].deleted {
		return fleet.Instance{}, false
	}
	return versions[len(versions)-1].instance, true
}

// SetState sets the state of an instance and reports whether it is listed.
func (l *Instances) SetState(id string, state fleet.InstanceState) bool {
	instance, listed := l.current(id)
	if !listed {
		return false
	}
	instance.State = state
	l.Put(instance)
	return true
}

// record appends a version to the history of an instance.
func (l *Instances) record(id string, version instanceVersion) {
	version.at = l.clock.Now()
	l.versions.Update(id, func(old []instanceVersion, _ bool) ([]instanceVersion, bool) {
		if len(old) >= maxVersions {
			old = old[1:]
		}
		return append(append([]instanceVersion(nil), old...), version), true
	})
}

// List returns the instances as they were lag ago, ordered by ID.
func (l *Instances) List(lag time.Duration) []fleet.Instance {
	asOf := l.clock.Now().Add(-lag)
	list := []fleet.Instance{}
	l.versions.Range(func(_ string, versions []instanceVersion) bool {
		if v, ok := versionAt(versions, asOf); ok && !v.deleted {
			list = append(list, v.instance)
		}
		return true
	})
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// versionAt returns the version that was current at asOf, if there is one.
func versionAt(versions []instanceVersion, asOf time.Time) (instanceVersion, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].at.After(asOf) {
			return versions[i], true
		}
	}
	return instanceVersion{}, false
}
