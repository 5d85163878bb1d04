package platform

import "net/http"

// validator makes a read conditional with an entity tag: the response has no
// body if the content still has that tag.
type validator struct {
	tag       string // entity tag of the known content, later that of the response; empty: none
	unchanged bool   // the response was 304 Not Modified
}

// addTo adds the condition to a request. A nil validator adds none.
func (v *validator) addTo(request *http.Request) {
	if v != nil && v.tag != "" {
		request.Header.Set("If-None-Match", v.tag)
	}
}

// update records the entity tag of the response and reports whether the content
// is unchanged.
func (v *validator) update(response *http.Response) (unchanged bool) {
	if v == nil {
		return false
	}
	v.unchanged = response.StatusCode == http.StatusNotModified && v.tag != ""
	if !v.unchanged {
		v.tag = response.Header.Get("ETag")
	}
	return v.unchanged
}
