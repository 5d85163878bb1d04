package platform

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// writeTagged responds with body as JSON and a weak entity tag of its content, or
// with 304 (not modified) if the request carries this tag.
func writeTagged(w http.ResponseWriter, r *http.Request, body any) {
	digest := xxhash.New()
	_ = json.NewEncoder(digest).Encode(body) // writes to a digest cannot fail
	tag := fmt.Sprintf(`W/"%016x"`, digest.Sum64())
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeCompressed(w, r, body)
}
