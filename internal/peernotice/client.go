package peernotice

import (
	"context"
	"time"

	"persimmonbay/internal/door"
	"persimmonbay/internal/peer"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/poolmanager"
)

// Client sends notices and questions to other entries.
type Client struct {
	peers *peer.Client
}

var _ poolmanager.Peers = (*Client)(nil)

// NewClient returns a client that sends over the sessions of peers.
func NewClient(peers *peer.Client) *Client { return &Client{peers: peers} }

// Notify sends a notice to the entry at address and waits for its response. It
// returns the owner's report, nil if it sent none, and an error if the notice may not have
// been received.
func (c *Client) Notify(ctx context.Context, address string, n poolmanager.Notice, now time.Time) (*door.Report, error) {
	response, err := c.peers.Call(ctx, address, &wire.Request{Body: &wire.Request_Work{Work: &wire.WorkNotice{
		Service: n.Service, Job: n.Job, Value: n.Value, Revision: n.Revision, Cancelled: n.Cancelled, Owner: n.OwnerToken,
	}}})
	if err != nil {
		return nil, err
	}
	return wire.ToPoolReport(response.GetWork().GetReport(), now), nil
}

// Pending asks the entry at address how many jobs of a queue have not begun; known is
// false if it does not own the pool.
func (c *Client) Pending(ctx context.Context, address, service, queue string) (jobs int, known bool, err error) {
	response, err := c.peers.Call(ctx, address, &wire.Request{Body: &wire.Request_Pending{Pending: &wire.PendingRequest{Service: service, Queue: queue}}})
	if err != nil {
		return 0, false, err
	}
	count := response.GetPending()
	return int(max(count.GetJobs(), 0)), count.GetKnown(), nil
}
