package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Values are the settings by path, as the package comment lists them. An absent one reads as "".
type Values map[string]string

// FieldError names the setting that could not be read. Its text is what the router ends with at start.
type FieldError struct{ Field, Why string }

// Error implements error.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Why }

// FromJSON reads a settings object. Nested objects become paths joined by dots. A list has its length under
// path.count; its objects and lists have their number in the path, and its plain values are joined by commas under the
// path itself.
func FromJSON(raw []byte) (Values, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, err
	}
	if _, isObject := tree.(map[string]any); !isObject {
		return nil, &FieldError{"settings", "no object"}
	}
	values := Values{}
	values.flatten("", tree)
	return values, nil
}

func (v Values) flatten(path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			v.flatten(strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		v.flattenList(path, node)
	default:
		v[path] = plainText(node)
	}
}

func (v Values) flattenList(path string, list []any) {
	plain := make([]string, 0, len(list))
	for i, element := range list {
		switch element.(type) {
		case map[string]any, []any:
			v.flatten(path+"."+strconv.Itoa(i), element)
		default:
			plain = append(plain, plainText(element))
		}
	}
	v[path+".count"] = strconv.Itoa(len(list))
	if len(plain) > 0 {
		v[path] = strings.Join(plain, ",")
	}
}

// plainText is a plain JSON value as the simulator would write it: numbers without an exponent, nothing for null.
func plainText(value any) string {
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

// enabled reads a setting that is on or off; JSON has true, the simulator 1.
func (v Values) enabled(path string) bool { return v[path] == "true" || v[path] == "1" }

// HealthChecksAllowed reports whether nodes may be asked for their load reports.
func (v Values) HealthChecksAllowed() bool { return v.enabled("limits.probes") }

// List reads a list of plain values; absent, empty and "-" have none.
func (v Values) List(path string) []string {
	if v[path] == "" || v[path] == "-" {
		return nil
	}
	return strings.Split(v[path], ",")
}
