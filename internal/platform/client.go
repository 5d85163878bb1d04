package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// maxIdleConnections bounds the idle connections to the platform.
const maxIdleConnections = 16

// watchGrace is added to the wait of a watch call to give its timeout.
const watchGrace = 2 * time.Second

// Client calls the platform over HTTP. It implements Store, Lessor,
// InstanceLister, Rebooter and Tasks and is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	purpose Purpose
	counts  *CallCounts
}

var (
	_ Store          = (*Client)(nil)
	_ Lessor         = (*Client)(nil)
	_ InstanceLister = (*Client)(nil)
)

// NewClient returns a client of the platform at the HTTP URL base. timeout
// bounds each call except watches, which wait for changes.
func NewClient(base string, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	return &Client{base: base, timeout: timeout, http: &http.Client{Transport: transport}, counts: NewCallCounts()}
}

// WithPurpose returns a client that counts its calls under purpose. It shares
// connections and counts with c.
func (c *Client) WithPurpose(purpose Purpose) *Client {
	clone := *c
	clone.purpose = purpose
	return &clone
}

// Counts returns the calls made through c and all clients made by WithPurpose.
func (c *Client) Counts() *CallCounts { return c.counts }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (api.KeyValue, error) {
	var kv api.KeyValue
	err := c.call(ctx, exchange{kind: callRead, step: problem.StepStoreRead, method: http.MethodGet, path: keyPath(key), out: &kv})
	return kv, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (api.Listing, error) {
	var listing api.Listing
	path := "/v1/kv?" + url.Values{"prefix": {prefix}}.Encode()
	err := c.call(ctx, exchange{kind: callRead, step: problem.StepStoreRead, method: http.MethodGet, path: path, out: &listing})
	return listing, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, condition Condition, lease LeaseID) (uint64, error) {
	request := api.PutRequest{Value: value, Lease: string(lease)}
	if version, required := condition.Version(); required {
		request.IfVersion = &version
	}
	var response api.PutResponse
	err := c.call(ctx, exchange{kind: callWrite, step: problem.StepStoreWrite, method: http.MethodPut, path: keyPath(key), in: request, out: &response})
	return response.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, condition Condition) error {
	path := keyPath(key)
	if version, required := condition.Version(); required {
		path += "?ifVersion=" + strconv.FormatUint(version, 10)
	}
	return c.call(ctx, exchange{kind: callWrite, step: problem.StepStoreWrite, method: http.MethodDelete, path: path})
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (api.Changes, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var changes api.Changes
	err := c.call(ctx, exchange{kind: callWatch, step: problem.StepStoreWatch, method: http.MethodGet,
		path: "/v1/watch?" + query.Encode(), out: &changes, wait: wait + watchGrace})
	return changes, err
}

// Grant implements Lessor.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response api.LeaseResponse
	err := c.call(ctx, exchange{kind: callWrite, step: problem.StepLease, method: http.MethodPost, path: "/v1/leases",
		in: api.LeaseRequest{TTLMillis: ttl.Milliseconds()}, out: &response})
	return LeaseID(response.ID), err
}

// Renew implements Lessor.
func (c *Client) Renew(ctx context.Context, id LeaseID) error {
	return c.call(ctx, exchange{kind: callWrite, step: problem.StepLease, method: http.MethodPost, path: leasePath(id) + "/renew"})
}

// Revoke implements Lessor.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, exchange{kind: callWrite, step: problem.StepLease, method: http.MethodDelete, path: leasePath(id)})
}

// Instances implements InstanceLister.
func (c *Client) Instances(ctx context.Context, known fleet.Listing) (fleet.Listing, error) {
	condition := &validator{tag: known.Tag}
	var instances []fleet.Instance
	err := c.call(ctx, exchange{kind: callRead, step: problem.StepInstances, method: http.MethodGet, path: "/v1/instances", out: &instances, condition: condition})
	if err != nil {
		return fleet.Listing{}, err
	}
	if condition.unchanged {
		return known, nil
	}
	return fleet.Listing{Tag: condition.tag, Instances: instances}, nil
}

// keyPath returns the URL path of a key. Slashes in the key are not escaped.
func keyPath(key string) string { return (&url.URL{Path: "/v1/kv/" + key}).EscapedPath() }

func leasePath(id LeaseID) string { return "/v1/leases/" + url.PathEscape(string(id)) }
