package poolmanager

import (
	"maps"
	"time"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// requestView is what the machine controller requests of the pools. It is immutable
// once shared: an update replaces it.
type requestView struct {
	recalls map[string]int          // how many machines pools have to give up, by service
	empty   map[string]emptyRequest // requests to empty machines, by machine
	known   bool                    // the store has been read
}

func newRequestView() requestView {
	return requestView{recalls: map[string]int{}, empty: map[string]emptyRequest{}}
}

func (v requestView) clone() requestView {
	v.recalls, v.empty = maps.Clone(v.recalls), maps.Clone(v.empty)
	return v
}

// apply applies an event to a view that is not shared yet. It returns an error for a
// value that cannot be decoded, and leaves the rest of the view as it is.
func (v *requestView) apply(e store.Event) error {
	if service, ok := poolstore.ParseRecall(e.Key); ok {
		return v.applyRecall(service, e)
	}
	if machine, ok := poolstore.ParseEmptyRequest(e.Key); ok {
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
	v.recalls[service] = n // 0 if it cannot be decoded
	return err
}

// applyEmpty applies a request to empty a machine. One that cannot be decoded is not
// carried out, and the machine controller receives no confirmation of it.
func (v *requestView) applyEmpty(machine string, e store.Event) error {
	if e.Deleted {
		delete(v.empty, machine)
		return nil
	}
	request, err := poolstore.DecodeEmptyRequest(e.Key, e.Value)
	if err == nil {
		v.empty[machine] = emptyRequest{EmptyRequest: request, revision: e.Revision}
	}
	return err
}

// machines returns the machines that the pool has to empty, or that are empty already,
// with the times by which their upkeep should be over.
func (v *requestView) machines(pool string) map[string]time.Time {
	machines := make(map[string]time.Time, len(v.empty))
	for m, request := range v.empty {
		if request.Pool == pool {
			machines[m] = request.By
		}
	}
	return machines
}

// emptied returns the machines that any pool has confirmed to be empty: they may be taken
// down at any time, also in another pool.
func (v *requestView) emptied() map[string]bool {
	machines := make(map[string]bool)
	for m, request := range v.empty {
		if request.Emptied {
			machines[m] = true
		}
	}
	return machines
}
