package peernotice

import (
	"context"

	"persimmonbay/internal/peer"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/poolmanager"
)

// Client sends notices to other entries.
type Client struct {
	peers *peer.Client
}

var _ poolmanager.Peers = (*Client)(nil)

// NewClient returns a client that sends through peers.
func NewClient(peers *peer.Client) *Client { return &Client{peers: peers} }

// Notify tells the entry at address of a change to a pool's work.
func (c *Client) Notify(ctx context.Context, address string, n poolmanager.Notice) error {
	_, err := c.peers.Call(ctx, address, &wire.Request{Body: &wire.Request_Work{Work: &wire.WorkNotice{
		Service: n.Service, Job: n.Job, Value: n.Value, Revision: n.Revision, Cancelled: n.Cancelled, Owner: n.OwnerToken,
	}}})
	return err
}
