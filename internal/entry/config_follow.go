package entry

import (
	"context"

	"go.uber.org/zap"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/telemetry"
)

// followConfiguration puts what the store accepts in force.
func (e *Entry) followConfiguration() *platform.Follower {
	return &platform.Follower{
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
		Reached: e.storeReached,
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

// offer puts v in force if it is newer.
func (e *Entry) offer(v configuration.Versioned) {
	if e.inForce.Offer(v) {
		e.log.Info("configuration in force", zap.Uint64("version", uint64(v.Version)))
	}
}

// fetchConfiguration takes a newer configuration over from a peer.
func (e *Entry) fetchConfiguration(ctx context.Context, m membership.Member) {
	response, err := e.peers.Call(ctx, m.PeerAddress, &wire.Request{Body: &wire.Request_Configuration{Configuration: &wire.ConfigurationRequest{}}})
	if err != nil {
		e.log.Warn("configuration not fetched", telemetry.ProblemFields(err)...)
		return
	}
	c := response.GetConfiguration()
	v, err := configstore.Parse(configuration.Version(c.GetVersion()), c.GetSource())
	if err != nil {
		e.log.Error("peer's configuration cannot be read; what is in force stays", zap.String("peer", string(m.ID)), zap.Error(err))
		return
	}
	e.offer(v)
}
