package entry

import (
	"context"
	"sync"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/telemetry"
)

// querySeeds requests the members from the seeds of the settings while this entry
// learns of newer configurations neither from the store nor from a peer. So an
// entry that starts during an outage of the store finds the others.
func (e *Entry) querySeeds(ctx context.Context) {
	if e.health.Get().current() {
		return
	}
	var calls sync.WaitGroup
	for _, seed := range e.settings.Peers.Seeds {
		if seed == e.Addresses().Peers {
			continue
		}
		calls.Go(func() { e.querySeed(ctx, seed) })
	}
	calls.Wait()
}

func (e *Entry) querySeed(ctx context.Context, seed string) {
	response, err := e.peers.Call(ctx, seed, &wire.Request{Body: &wire.Request_Members{Members: &wire.MembersRequest{}}})
	if err != nil {
		e.log.Debug("seed did not answer the request for members; it is tried again in the next round", telemetry.ProblemFields(err)...)
		return
	}
	for _, r := range wire.ToRegistrations(response.GetMembers()) {
		e.members.AddReported(r, e.clock.Now())
	}
}

// knownMembers answers a peer's request for members, this entry included.
func (e *Entry) knownMembers() *wire.Response {
	known := append([]membership.Registration{*e.ownRegistration()}, e.members.Registrations()...)
	return &wire.Response{Body: &wire.Response_Members{Members: wire.FromRegistrations(known)}}
}
