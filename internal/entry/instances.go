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

// pollInstances reads the platform's list whenever it is this entry's turn,
// until ctx ends. When the platform does not answer, the latest list stays in
// use.
func (e *Entry) pollInstances(ctx context.Context) {
	client := e.platform.For(platform.PurposeInstances)
	every := e.settings.Limits.InstancesEvery
	staleAfter := inventory.StaleAfter(every, e.settings.Membership.Heartbeat)
	for {
		now := e.clock.Now()
		age := now.Sub(e.inventory.Get().Stamp.ReadAt)
		if inventory.Due(e.settings.ID, e.aliveMembers(), now, age, staleAfter) {
			e.readInstances(ctx, client)
		}
		select {
		case <-e.clock.After(every):
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) readInstances(ctx context.Context, client platform.InstanceLister) {
	list, err := client.Instances(ctx, e.inventory.Listing())
	if err != nil {
		if ctx.Err() == nil {
			e.log.Warn("list of instances not read", telemetry.ProblemFields(err)...)
		}
		return
	}
	if e.inventory.Read(list, e.clock.Now()) {
		e.tellPeers()
	}
}

// watchInstances acts on the list whenever it is new or fresher, until ctx
// ends. It alone does, so that an older list never overtakes a newer one.
func (e *Entry) watchInstances(ctx context.Context) {
	var planned uint64
	for {
		list, changed := e.inventory.Watch()
		if list.Stamp.Generation > 0 {
			e.control.router.refresh()
		}
		if list.Stamp.Generation != planned {
			planned = list.Stamp.Generation
			e.control.stir()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// fetchInstances takes a newer list over from a peer: what changed since the
// one in use, or all of it when the peer cannot tell.
func (e *Entry) fetchInstances(ctx context.Context, m membership.Member) {
	known := &wire.InstancesRequest{Known: wire.FromStamp(e.inventory.Get().Stamp, e.clock.Now())}
	list := e.askInstances(ctx, m, known)
	if list.GetBase() != nil && !e.inventory.ApplyChanges(wire.ToDifference(list, e.clock.Now())) {
		list = e.askInstances(ctx, m, &wire.InstancesRequest{})
	}
	if list != nil && list.GetBase() == nil {
		e.inventory.Update(wire.ToInstances(list, e.clock.Now()))
	}
}

// askInstances returns the answer of m, or nil when there is none.
func (e *Entry) askInstances(ctx context.Context, m membership.Member, request *wire.InstancesRequest) *wire.Instances {
	response, err := e.peers.Call(ctx, m.PeerAddress, &wire.Request{Body: &wire.Request_Instances{Instances: request}})
	if err != nil {
		e.log.Warn("list of instances not fetched", telemetry.ProblemFields(err)...)
		return nil
	}
	if response.GetInstances() == nil {
		e.log.Error("peer answered without instances", zap.String("step", string(problem.StepInstances)), zap.String("peer", string(m.ID)))
	}
	return response.GetInstances()
}

// handleInstances answers with the changes since the list that the asking
// entry has, or with all of the list in use.
func (e *Entry) handleInstances(request *wire.InstancesRequest) *wire.Response {
	now := e.clock.Now()
	answer := wire.FromInstances(e.inventory.Get(), now)
	if d, ok := e.inventory.ChangesSince(wire.ToStamp(request.GetKnown(), now)); ok {
		answer = wire.FromDifference(d, now)
	}
	return &wire.Response{Body: &wire.Response_Instances{Instances: answer}}
}

// aliveMembers returns the IDs of the other entries that are heard.
func (e *Entry) aliveMembers() []string {
	var alive []string
	now := e.clock.Now()
	for _, m := range e.members.Members() {
		if m.Alive(now, e.settings.Membership.SilentFor) {
			alive = append(alive, string(m.ID))
		}
	}
	return alive
}
