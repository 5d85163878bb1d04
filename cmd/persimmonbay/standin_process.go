package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"go.uber.org/zap"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/telemetry"
)

// openStandin returns the logger and the listener of a stand-in.
func openStandin(c console, address string) (*zap.Logger, net.Listener, error) {
	log, err := telemetry.NewLogger(c.err, "info")
	if err != nil {
		return nil, nil, err
	}
	listener, err := net.Listen("tcp", address)
	return log, listener, err
}

// registerInstance adds the instance to the list of a stand-in platform. It does
// nothing if platformURL is empty.
func registerInstance(ctx context.Context, platformURL string, instance fleet.Instance) error {
	if platformURL == "" {
		return nil
	}
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, platformURL+"/standin/instances/"+instance.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("register with the platform at %s: %s", platformURL, response.Status)
	}
	return nil
}

// serveHTTP serves until ctx ends, then closes all connections at once.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
