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

// servePeers receives the notices of other entries and sends those of this one. It
// starts once the secret that the entries share is known.
func (e *Entry) servePeers(ctx context.Context) error {
	secret, changed := e.manager.Secret()
	for secret == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
		secret, changed = e.manager.Secret()
	}
	listener, err := listen(e.settings.Listen.Peers)
	if err != nil {
		return err
	}
	client := peer.NewClient(e.settings.ID, secret, peerTimeout)
	defer client.Close()
	e.manager.SetPeers(peernotice.NewClient(client))
	e.log.Info("listening for notices of peers", zap.String("peers", e.settings.Listen.Peers))
	return peer.NewServer(peernotice.NewHandler(e.manager), secret, e.log).Serve(ctx, listener)
}
