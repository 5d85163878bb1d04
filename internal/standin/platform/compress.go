package platform

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
)

// writeCompressed sends body as JSON, gzipped for a client that accepts it.
func writeCompressed(w http.ResponseWriter, r *http.Request, body any) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		write(w, http.StatusOK, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Add("Vary", "Accept-Encoding")
	compressed := gzip.NewWriter(w)
	_ = json.NewEncoder(compressed).Encode(body) // a failed write breaks the connection
	_ = compressed.Close()
}
