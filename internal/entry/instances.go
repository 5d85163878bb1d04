package entry

import (
	"context"

	"go.uber.org/zap"

	"persimmonbay/internal/inventory"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

// pollInstances reads the platform's list of instances whenever it is this
// entry's turn, until ctx ends. While the platform does not answer, the latest
// list stays in use.
func (e *Entry) pollInstances(ctx context.Context) {
	client := e.platform.WithPurpose(platform.PurposeInstances)
	interval := e.settings.Limits.InstancesInterval
	staleAfter := inventory.StaleAfter(interval, e.settings.Membership.Heartbeat)
	for {
		now := e.clock.Now()
		age := now.Sub(e.inventory.Get().Stamp.ReadAt)
		if inventory.ShouldRead(e.settings.ID, e.aliveMembers(), now, age, staleAfter) {
			e.readInstances(ctx, client)
		}
		select {
		case <-e.clock.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) readInstances(ctx context.Context, client platform.InstanceLister) {
	list, err := client.Instances(ctx, e.inventory.Listing())
	if err != nil {
		if ctx.Err() == nil {
			e.log.Warn("cannot read the list of instances; the latest one stays in use", telemetry.ProblemFields(err)...)
		}
		return
	}
	if e.inventory.Read(list, e.clock.Now()) {
		e.notifyPeers()
	}
}

// watchInstances updates the routes and wakes the controller whenever the list
// changes or is read again, until ctx ends. Only this goroutine does so: an older
// list is never applied after a newer one.
func (e *Entry) watchInstances(ctx context.Context) {
	var generation uint64
	for {
		list, changed := e.inventory.Watch()
		if list.Stamp.Generation > 0 {
			e.control.router.refresh()
		}
		if list.Stamp.Generation != generation {
			generation = list.Stamp.Generation
			e.control.notifyController()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// fetchInstances fetches a newer list from a peer: the changes since the list in
// use, or the whole list when the peer does not know that one.
func (e *Entry) fetchInstances(ctx context.Context, m membership.Member) {
	known := &wire.InstancesRequest{Known: wire.FromStamp(e.inventory.Get().Stamp, e.clock.Now())}
	list := e.requestInstances(ctx, m, known)
	if list.GetBase() != nil && !e.inventory.ApplyChanges(wire.ToDifference(list, e.clock.Now())) {
		list = e.requestInstances(ctx, m, &wire.InstancesRequest{})
	}
	if list != nil && list.GetBase() == nil {
		e.inventory.Update(wire.ToInstances(list, e.clock.Now()))
	}
}

// requestInstances returns the answer of m, or nil when there is none.
func (e *Entry) requestInstances(ctx context.Context, m membership.Member, request *wire.InstancesRequest) *wire.Instances {
	response, err := e.peers.Call(ctx, m.PeerAddress, &wire.Request{Body: &wire.Request_Instances{Instances: request}})
	if err != nil {
		e.log.Warn("cannot fetch the list of instances from a peer; the latest one stays in use", telemetry.ProblemFields(err)...)
		return nil
	}
	if response.GetInstances() == nil {
		e.log.Error("the peer's answer holds no list of instances", zap.String("step", string(problem.StepInstances)), zap.String("peer", string(m.ID)))
	}
	return response.GetInstances()
}

// handleInstances answers with the changes since the list that the requesting
// entry has, or with the whole list in use.
func (e *Entry) handleInstances(request *wire.InstancesRequest) *wire.Response {
	now := e.clock.Now()
	answer := wire.FromInstances(e.inventory.Get(), now)
	if d, ok := e.inventory.ChangesSince(wire.ToStamp(request.GetKnown(), now)); ok {
		answer = wire.FromDifference(d, now)
	}
	return &wire.Response{Body: &wire.Response_Instances{Instances: answer}}
}

// aliveMembers returns the IDs of the other entries whose heartbeats are recent.
func (e *Entry) aliveMembers() []string {
	var alive []string
	now := e.clock.Now()
	for _, m := range e.members.Members() {
		if m.Alive(now, e.settings.Membership.SuspectAfter) {
			alive = append(alive, string(m.ID))
		}
	}
	return alive
}
