package configuration

import "strings"

// Route selects requests to a service by method and path prefix.
type Route struct {
	Method     string `yaml:"method" validate:"required,oneof=GET POST PUT PATCH DELETE ANY"`
	PathPrefix string `yaml:"pathPrefix" validate:"required,startswith=/"`
}

// AnyMethod is the Method of a Route that matches all methods.
const AnyMethod = "ANY"

// Matches reports whether r selects a request with this method and path.
func (r Route) Matches(method, path string) bool {
	if r.Method != AnyMethod && r.Method != method {
		return false
	}
	return strings.HasPrefix(path, r.PathPrefix)
}
