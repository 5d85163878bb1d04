package upstream

import (
	"net/http"
	"strings"

	"persimmonbay/internal/request"
)

// Headers between entries and upstreams.
const (
	headerKey       = "Idempotency-Key"
	headerRequestID = "Persimmonbay-Request-Id"
	headerState     = "Persimmonbay-Upstream-State"
	headerLength    = "Content-Length" // carried apart, as the answer's length
	ownPrefix       = "Persimmonbay-"  // begins the fields that only an entry may set on an answer
)

// hopFields are the header fields that belong to one connection.
var hopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// setFields copies what goes from end to end to header.
func setFields(header http.Header, fields []request.Field) {
	var named []string
	for _, f := range fields {
		if f.Name == "Connection" {
			named = append(named, namedByConnection(f.Value)...)
		}
	}
	for _, f := range fields {
		if !hopFields[f.Name] && f.Name != headerLength {
			header.Add(f.Name, f.Value)
		}
	}
	for _, name := range named {
		header.Del(name)
	}
}

// answerFields returns what goes from end to end of an answer's header.
func answerFields(header http.Header) []request.Field {
	for _, value := range header["Connection"] {
		for _, name := range namedByConnection(value) {
			header.Del(name)
		}
	}
	all := make([]request.Field, 0, len(header))
	for name, values := range header {
		if hopFields[name] || name == headerLength || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		for _, v := range values {
			all = append(all, request.Field{Name: name, Value: v})
		}
	}
	return all
}

// namedByConnection returns the fields that a Connection field makes hop by
// hop.
func namedByConnection(value string) []string {
	names := strings.Split(value, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
