package poolmanager

import (
	"maps"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// requestView is what the machine controller requests of the pools. It
// is never changed, only replaced.
type requestView struct {
	recalls map[string]int        // machines that pools have to give up
	empty   map[string]emptyEntry // machines to be emptied, or that are
	known   bool                  // the store was read
}

func newRequestView() requestView {
	return requestView{recalls: map[string]int{}, empty: map[string]emptyEntry{}}
}

func (v requestView) clone() requestView {
	v.recalls, v.empty = maps.Clone(v.recalls), maps.Clone(v.empty)
	return v
}

// apply changes a view that nobody else sees yet. A value that is not
// understood is an error, and changes as little as can be.
func (v *requestView) apply(e store.Event) error {
	if service, ok := poolstore.ParseRecall(e.Key); ok {
		return v.applyRecall(service, e)
	}
	if machine, ok := poolstore.ParseEmpty(e.Key); ok {
		return v.applyEmpty(machine, e)
	}
	return nil
}

func (v *requestView) applyRecall(service string, e store.Event) error {
	if e.Deleted {
		delete(v.recalls, service)
		return nil
	}
	n, err := poolstore.DecodeCount(e.Key, e.Value)
	v.recalls[service] = n // none, when it is not understood
	return err
}

// applyEmpty takes in that a machine is to be emptied. The holder of one that
// is not understood sees that nobody empties it.
func (v *requestView) applyEmpty(machine string, e store.Event) error {
	if e.Deleted {
		delete(v.empty, machine)
		return nil
	}
	by, emptied, err := poolstore.DecodeEmpty(e.Key, e.Value)
	if err == nil {
		v.empty[machine] = emptyEntry{revision: e.Revision, by: by, emptied: emptied}
	}
	return err
}

// machines returns the machines that are to be emptied, or are, and by when.
func (v *requestView) machines() map[string]time.Time {
	machines := make(map[string]time.Time, len(v.empty))
	for m, entry := range v.empty {
		machines[m] = entry.by
	}
	return machines
}

// emptied returns the machines that their pools have said to be empty.
func (v *requestView) emptied() map[string]bool {
	machines := make(map[string]bool)
	for m, entry := range v.empty {
		if entry.emptied {
			machines[m] = true
		}
	}
	return machines
}
