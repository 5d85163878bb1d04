package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// ask sends one request on a connection of its own and returns the status of the response, 0
// without one.
func ask(method, url, host, body string) int { return askWith(method, url, host, body, "") }

// askWith does so with a header field that holds extra.
func askWith(method, url, host, body, extra string) int {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Close = true
	if host != "" {
		r.Host = host
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "30000")
	r.Header.Set(teamField, team)
	if extra != "" {
		r.Header.Set("X-Extra", extra)
	}
	response, err := (&http.Client{Timeout: patience}).Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body) // a broken body leaves the status
	return response.StatusCode
}

// declare sends the head of a request with a body of so many bytes, and none of these. It returns
// the status of the response, 0 without one.
func declare(address, path, host string, bytes int) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", path, host, teamField, team, bytes)
	_ = conn.SetReadDeadline(time.Now().Add(patience)) // fails only on a closed connection
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
