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

// watchConfiguration returns the watcher that puts every configuration that the
// store accepts in force.
func (e *Entry) watchConfiguration() *platform.Watcher {
	return &platform.Watcher{
		Store:  e.platform.WithPurpose(platform.PurposeConfiguration),
		Prefix: configstore.CurrentKey,
		Wait:   e.settings.Platform.WatchWait,
		Clock:  e.clock,
		Log:    e.log,
		OnListing: func(listing api.Listing) {
			for _, kv := range listing.Items {
				e.configurationStored(kv)
			}
		},
		OnEvent: func(event api.Event) {
			if event.Type == api.EventPut {
				e.configurationStored(api.KeyValue{Key: event.Key, Value: event.Value, Version: event.Version})
			}
		},
		OnResponse: e.recordConfigurationRead,
	}
}

func (e *Entry) configurationStored(kv api.KeyValue) {
	v, err := configstore.Decode(kv)
	if err != nil {
		e.log.Error("stored configuration cannot be read; the one in force stays", telemetry.ProblemFields(err)...)
		return
	}
	e.putInForce(v)
}

// putInForce puts v in force if it is newer than the one in force, and notifies
// the other entries.
func (e *Entry) putInForce(v configuration.Versioned) {
	if e.inForce.SetIfNewer(v) {
		e.notifyPeers()
		e.log.Info("configuration in force", zap.Uint64("version", uint64(v.Version)))
	}
}

// recordConfigurationRead records whether the latest read of the configuration
// from the store succeeded.
func (e *Entry) recordConfigurationRead(reached bool) {
	e.recordStoreReachable(reached)
	e.health.Update(func(h health) (health, bool) {
		changed := h.currentByStore != reached
		h.currentByStore = reached
		return h, changed
	})
}

// fetchConfiguration fetches the configuration from the peer at address and puts
// it in force if it is newer.
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
	e.putInForce(v)
	return nil
}
