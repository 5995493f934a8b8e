package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Values are the settings by path, as listed in the package comment. An absent setting reads as "".
type Values map[string]string

// FieldError names a setting that can't be parsed. At startup, the router prints its text and exits.
type FieldError struct{ Field, Reason string }

// Error implements error.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Reason }

// FromJSON parses a settings object. Keys of nested objects are joined by dots to form a path. The length of a list is
// stored under path.count. Objects and lists within a list have their index in the path; its scalars are joined by
// commas and stored under the path itself.
func FromJSON(raw []byte) (Values, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, err
	}
	if _, isObject := tree.(map[string]any); !isObject {
		return nil, &FieldError{"settings", "not an object"}
	}
	values := Values{}
	values.flatten("", tree)
	return values, nil
}

func (v Values) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, child := range value {
			v.flatten(strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		v.flattenList(path, value)
	default:
		v[path] = scalarText(value)
	}
}

func (v Values) flattenList(path string, elements []any) {
	scalars := make([]string, 0, len(elements))
	for i, element := range elements {
		switch element.(type) {
		case map[string]any, []any:
			v.flatten(path+"."+strconv.Itoa(i), element)
		default:
			scalars = append(scalars, scalarText(element))
		}
	}
	v[path+".count"] = strconv.Itoa(len(elements))
	if len(scalars) > 0 {
		v[path] = strings.Join(scalars, ",")
	}
}

// scalarText formats a JSON scalar as the simulator does: numbers have no exponent, and null is the empty string.
func scalarText(value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case json.Number:
		if strings.ContainsAny(value.String(), "eE") {
			if f, err := value.Float64(); err == nil {
				return strconv.FormatFloat(f, 'f', -1, 64)
			}
		}
	}
	return fmt.Sprint(value)
}

// enabled parses a boolean setting, which is true in JSON and 1 in the simulator.
func (v Values) enabled(path string) bool { return v[path] == "true" || v[path] == "1" }

// HealthChecksAllowed reports whether the router may send health checks, which ask nodes for their load reports.
func (v Values) HealthChecksAllowed() bool { return v.enabled("limits.probes") }

// List splits a list of scalars. An absent or empty value and "-" give an empty list.
func (v Values) List(path string) []string {
	if v[path] == "" || v[path] == "-" {
		return nil
	}
	return strings.Split(v[path], ",")
}
