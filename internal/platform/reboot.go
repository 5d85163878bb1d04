package platform

import (
	"context"
	"net/http"
	"net/url"

	"persimmonbay/internal/problem"
)

var _ Rebooter = (*Client)(nil)

// Reboot implements Rebooter.
func (c *Client) Reboot(ctx context.Context, instance string) error {
	return c.call(ctx, exchange{kind: callWrite, step: problem.StepReboot, method: http.MethodPost,
		path: "/v1/instances/" + url.PathEscape(instance) + "/reboot"})
}
