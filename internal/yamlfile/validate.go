package yamlfile

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"persimmonbay/internal/problem"
)

// structValidator is not changed after its creation and is safe for concurrent
// use.
var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	if err := v.RegisterValidation("label", isLabel); err != nil {
		panic(err) // happens only for an empty tag or a nil function
	}
	return v
}

// validate returns findings, with paths but no lines, for the fields of target
// that violate their "validate" struct tags.
func validate(target any) problem.Findings {
	err := structValidator.Struct(target)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return nil
	}
	findings := make(problem.Findings, len(faults))
	for i, fault := range faults {
		findings[i] = problem.Finding{Path: fieldPath(fault.Namespace()), Expected: expectation(fault)}
	}
	return findings
}

// fieldPath returns a validator namespace without the name of the root type.
func fieldPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return path
}

func expectation(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required", "required_if":
		return "expected a value, found none"
	case "hostname_port":
		return "expected HOST:PORT, as in 127.0.0.1:8080"
	case "label":
		return labelExpectation
	case "startswith":
		return "expected a value that starts with " + fault.Param()
	case "oneof":
		return "expected one of: " + fault.Param()
	case "gt", "gte", "lt", "lte", "min", "max":
		return "expected a value " + comparison(fault.Tag()) + " " + fault.Param()
	}
	return "expected " + strings.TrimSpace(fault.Tag()+" "+fault.Param())
}

func comparison(tag string) string {
	return map[string]string{"gt": "above", "gte": "of at least", "min": "of at least",
		"lt": "below", "lte": "of at most", "max": "of at most"}[tag]
}
