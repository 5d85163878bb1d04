package keycheck_test

import (
	"context"
	"time"

	"persimmonbay/internal/poolconfig"
)

// slowReader confirms the configuration as of its call, which takes a second.
type slowReader struct {
	config *poolconfig.InForce
	now    *time.Duration
}

// ReadConfiguration implements keycheck.Reader.
func (r *slowReader) ReadConfiguration(context.Context) error {
	sent := *r.now
	*r.now += time.Second
	r.config.Confirm(sent)
	return nil
}
