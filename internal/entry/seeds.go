package entry

import (
	"context"
	"sync"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/telemetry"
)

// askSeeds asks the seeds of the settings for members while neither the store
// nor a peer keeps this entry current. So an entry that starts while the store
// is down finds the others.
func (e *Entry) askSeeds(ctx context.Context) {
	if e.health.Get().current() {
		return
	}
	var calls sync.WaitGroup
	for _, seed := range e.settings.Peers.Seeds {
		if seed == e.Addresses().Peers {
			continue
		}
		calls.Go(func() { e.askSeed(ctx, seed) })
	}
	calls.Wait()
}

func (e *Entry) askSeed(ctx context.Context, seed string) {
	response, err := e.peers.Call(ctx, seed, &wire.Request{Body: &wire.Request_Members{Members: &wire.MembersRequest{}}})
	if err != nil {
		e.log.Debug("seed did not answer", telemetry.ProblemFields(err)...)
		return
	}
	for _, r := range wire.ToRegistrations(response.GetMembers()) {
		e.members.AddReported(r, e.clock.Now())
	}
}

// knownMembers answers a peer that asks for members, this entry included.
func (e *Entry) knownMembers() *wire.Response {
	known := append([]membership.Registration{*e.ownRegistration()}, e.members.Registrations()...)
	return &wire.Response{Body: &wire.Response_Members{Members: wire.FromRegistrations(known)}}
}
