package platform

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// writeTagged sends body as JSON with a weak entity tag of its content, or only
// "not modified" to a client that shows this tag.
func writeTagged(w http.ResponseWriter, r *http.Request, body any) {
	digest := xxhash.New()
	_ = json.NewEncoder(digest).Encode(body) // a digest takes all that is written
	tag := fmt.Sprintf(`W/"%016x"`, digest.Sum64())
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeCompressed(w, r, body)
}
