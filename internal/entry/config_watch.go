package entry

import (
	"context"

	"go.uber.org/zap"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/packed"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

// watchConfiguration puts what the store accepts in force.
func (e *Entry) watchConfiguration() *platform.Watcher {
	return &platform.Watcher{
		Store:  e.platform.For(platform.PurposeConfiguration),
		Prefix: configstore.CurrentKey,
		Wait:   e.settings.Platform.WatchWait,
		Clock:  e.clock,
		Log:    e.log,
		Listed: func(listing api.Listing) {
			for _, kv := range listing.Items {
				e.configurationStored(kv)
			}
		},
		Changed: func(event api.Event) {
			if event.Type == api.EventPut {
				e.configurationStored(api.KeyValue{Key: event.Key, Value: event.Value, Version: event.Version})
			}
		},
		Reached: e.configurationReached,
	}
}

func (e *Entry) configurationStored(kv api.KeyValue) {
	v, err := configstore.Decode(kv)
	if err != nil {
		e.log.Error("stored configuration cannot be read; what is in force stays", telemetry.ProblemFields(err)...)
		return
	}
	e.offer(v)
}

// offer puts v in force if it is newer, and has the other entries told.
func (e *Entry) offer(v configuration.Versioned) {
	if e.inForce.Offer(v) {
		e.tellPeers()
		e.log.Info("configuration in force", zap.Uint64("version", uint64(v.Version)))
	}
}

// configurationReached notes whether the latest look at the store's
// configuration succeeded.
func (e *Entry) configurationReached(reached bool) {
	e.storeReached(reached)
	e.health.Update(func(h health) (health, bool) {
		changed := h.currentByStore != reached
		h.currentByStore = reached
		return h, changed
	})
}

// fetchConfiguration takes the configuration over from the peer at address.
func (e *Entry) fetchConfiguration(ctx context.Context, address string) error {
	response, err := e.peers.Call(ctx, address, &wire.Request{Body: &wire.Request_Configuration{Configuration: &wire.ConfigurationRequest{}}})
	if err != nil {
		return err
	}
	c := response.GetConfiguration()
	source, err := packed.Unpack(c.GetSource())
	if err != nil {
		return problem.Wrap(problem.Invalid, problem.StepConfiguration, address, err)
	}
	v, err := configstore.Parse(configuration.Version(c.GetVersion()), source)
	if err != nil {
		return problem.Wrap(problem.Invalid, problem.StepConfiguration, address, err)
	}
	e.offer(v)
	return nil
}
