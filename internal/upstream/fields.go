package upstream

import (
	"net/http"
	"strings"

	"persimmonbay/internal/request"
)

// Header fields between entries and upstreams.
const (
	headerKey       = "Idempotency-Key"
	headerRequestID = "Persimmonbay-Request-Id"
	headerState     = "Persimmonbay-Upstream-State"
	headerLength    = "Content-Length" // sent as the length of the body or answer instead
	entryPrefix     = "Persimmonbay-"  // prefix of the fields that only an entry may set on an answer
)

// hopByHopFields are the header fields that apply to one connection.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// setFields copies the end-to-end fields to header.
func setFields(header http.Header, fields []request.Field) {
	var named []string
	for _, f := range fields {
		if f.Name == "Connection" {
			named = append(named, connectionOptions(f.Value)...)
		}
	}
	for _, f := range fields {
		if !hopByHopFields[f.Name] && f.Name != headerLength {
			header.Add(f.Name, f.Value)
		}
	}
	for _, name := range named {
		header.Del(name)
	}
}

// answerFields returns the end-to-end fields of an answer's header, without those
// that only an entry may set. It changes header.
func answerFields(header http.Header) []request.Field {
	for _, value := range header["Connection"] {
		for _, name := range connectionOptions(value) {
			header.Del(name)
		}
	}
	all := make([]request.Field, 0, len(header))
	for name, values := range header {
		if hopByHopFields[name] || name == headerLength || strings.HasPrefix(name, entryPrefix) {
			continue
		}
		for _, v := range values {
			all = append(all, request.Field{Name: name, Value: v})
		}
	}
	return all
}

// connectionOptions returns the names in the value of a Connection field. The
// fields of these names are hop-by-hop fields too.
func connectionOptions(value string) []string {
	names := strings.Split(value, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
