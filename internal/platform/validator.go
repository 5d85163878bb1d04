package platform

import "net/http"

// validator makes a read conditional: the answer carries no body when the
// platform still shows what it showed under the tag.
type validator struct {
	tag       string // entity tag to compare with; then that of the answer; empty: none
	unchanged bool   // the answer was "not modified"
}

// ask adds the condition to a request. A nil validator adds none.
func (v *validator) ask(request *http.Request) {
	if v != nil && v.tag != "" {
		request.Header.Set("If-None-Match", v.tag)
	}
}

// take notes what the answer says and reports whether nothing has changed.
func (v *validator) take(response *http.Response) (unchanged bool) {
	if v == nil {
		return false
	}
	v.unchanged = response.StatusCode == http.StatusNotModified && v.tag != ""
	if !v.unchanged {
		v.tag = response.Header.Get("ETag")
	}
	return v.unchanged
}
