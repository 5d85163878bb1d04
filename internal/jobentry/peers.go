package jobentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/peer"
	"persimmonbay/internal/peernotice"
)

// peerTimeout bounds one call to another entry.
const peerTimeout = 500 * time.Millisecond

// servePeers receives the notices of other entries and sends those of this one, with
// the secret that the entries share now.
func (e *Entry) servePeers(ctx context.Context) error {
	follower := &secretFollower{source: e.manager, serve: e.servePeersWith}
	return follower.run(ctx)
}

// servePeersWith does so with one secret, until ctx ends.
func (e *Entry) servePeersWith(ctx context.Context, secret []byte) error {
	listener, err := listen(e.settings.Listen.Peers)
	if err != nil {
		return err
	}
	client := peer.NewClient(e.settings.ID, secret, peerTimeout)
	defer client.Close()
	e.manager.SetPeers(peernotice.NewClient(client))
	e.log.Info("listening for notices of peers", zap.String("peers", e.settings.Listen.Peers))
	return peer.NewServer(peernotice.NewHandler(e.manager), secret, e.log).Serve(ctx, e.guard.Listener(listener, e.machine.Peers()))
}
