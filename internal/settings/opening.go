// Package settings hands the decision module its start values, part by part. Every way of running the
// module reads them here, so there is one table of their names and units.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cairntiller/internal/decimal"
	"cairntiller/internal/routing"
)

// Values are the start values by path; unknown ones are never asked for. Times are decimal milliseconds.
type Values map[string]string

// FieldError names the value that could not be read.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Why }

// Names are the numbers under which the module knows command groups and tenants.
type Catalog struct {
	GroupNumbers, TenantNumbers map[string]int
	LatencyObjectives           []int64 // of groups by number, us
	LongestClientTimeout        int64   // client timeout of any group, us
}

// FromJSON flattens nested values into paths: list entries by number with their count, plain lists joined.
func FromJSON(raw []byte) (Values, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, err
	}
	if _, ok := tree.(map[string]any); !ok {
		return nil, &FieldError{"settings", "no object"}
	}
	v := Values{}
	v.flatten("", tree)
	return v, nil
}

func (v Values) flatten(path string, node any) {
	switch n := node.(type) {
	case map[string]any:
		for key, one := range n {
			v.flatten(strings.TrimPrefix(path+"."+key, "."), one)
		}
	case []any:
		plain := make([]string, 0, len(n))
		for i, one := range n {
			switch one.(type) {
			case map[string]any, []any:
				v.flatten(path+"."+strconv.Itoa(i), one)
			default:
				plain = append(plain, word(one))
			}
		}
		v[path+".count"] = strconv.Itoa(len(n))
		if len(plain) > 0 {
			v[path] = strings.Join(plain, ",")
		}
	default:
		v[path] = word(node)
	}
}

func word(node any) string {
	switch n := node.(type) {
	case nil:
		return ""
	case json.Number:
		if f, err := n.Float64(); err == nil && strings.ContainsAny(n.String(), "eE") {
			return strconv.FormatFloat(f, 'f', -1, 64)
		}
	}
	return fmt.Sprint(node)
}

func (v Values) on(key string) bool { return v[key] == "true" || v[key] == "1" }

// Probes tells whether nodes may be probed.
func (v Values) HealthChecksAllowed() bool { return v.on("limits.probes") }

// List is a list of plain values.
func (v Values) List(key string) []string {
	if v[key] == "" || v[key] == "-" {
		return nil
	}
	return strings.Split(v[key], ",")
}

// Reader reads single values and keeps the first fault.
type Reader struct {
	Values Values
	Err    error
}

func (n *Reader) fail(key, why string) {
	if n.Err == nil {
		n.Err = &FieldError{key, why}
	}
}

// Time is a value in microseconds; 0 where it is absent.
func (n *Reader) Time(key string) int64 { return n.timeOf(key, n.Values[key]) }

func (n *Reader) timeOf(key, value string) int64 {
	if value == "" {
		return 0
	}
	t, err := decimal.Micros(value)
	if err != nil {
		n.fail(key, err.Error())
	}
	return t
}

// Num is a whole number; 0 where it is absent.
func (n *Reader) Int(key string) int {
	if n.Values[key] == "" {
		return 0
	}
	i, err := strconv.Atoi(n.Values[key])
	if err != nil {
		n.fail(key, "no whole number")
	}
	return i
}

// Float is a number; 0 where it is absent.
func (n *Reader) Float(key string) float64 {
	if n.Values[key] == "" {
		return 0
	}
	f, err := strconv.ParseFloat(n.Values[key], 64)
	if err != nil {
		n.fail(key, "no number")
	}
	return f
}

func nth(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}

// Hand gives each part of the module its few values. A dispatch may leave up to sendLate after it was
// decided; the age that a read's data may have when it is sent is cut by that.
func (v Values) Configure(r *routing.Router, sendLate int64) (Catalog, error) {
	n := Reader{Values: v}
	names := Catalog{GroupNumbers: map[string]int{}, TenantNumbers: map[string]int{}}
	r.Place(v["az"], n.Int("siblings"), n.Time("round"))
	levels, bounds := v.List("domain.readLevel"), v.List("domain.oldestData")
	for i := range n.Int("classes.count") {
		at := "classes." + strconv.Itoa(i) + "."
		effect := routing.NotIdempotent
		switch v[at+"effect"] {
		case "safe":
			effect = routing.Idempotent
		case "keyed":
			effect = routing.IdempotentWithKey
		}
		names.GroupNumbers[v[at+"name"]] = i
		names.LatencyObjectives = append(names.LatencyObjectives, n.Time(at+"aim"))
		names.LongestClientTimeout = max(names.LongestClientTimeout, n.Time(at+"hardLimit"))
		bound := n.timeOf("domain.oldestData", nth(bounds, i))
		r.Group(effect, v[at+"group"] == "all", level(nth(levels, i)), max(0, bound-sendLate),
			n.Time(at+"window"), n.Time(at+"aim"), n.Time(at+"hardLimit"), n.Float(at+"points"),
			n.Float(at+"lateValue"))
	}
	for i := range n.Int("tenants.count") {
		at := "tenants." + strconv.Itoa(i) + "."
		names.TenantNumbers[v[at+"name"]] = i
		r.Tenant(n.Float(at + "quotaPerS"))
	}
	r.Shares(n.Float("overShareWorth"))
	r.Dispatches(n.Int("limits.maxAttempts"), v.on("limits.cancel"), v.on("limits.secondCopies"))
	fields := v.List("report.fields")
	reports := func(name string) bool { return v["report.how"] != "none" && slices.Contains(fields, name) }
	r.Probes(v.HealthChecksAllowed(), reports("x0"), reports("x1"))
	r.Tokens(v["domain.writeMarks"] == "carried")
	r.ColdStart(n.Time("rules.cold"), n.Float("rules.coldFrom"), n.Float("rules.fallMultiple"), n.Time("rules.fall"))
	r.Drains(v.on("rules.droppedStayOpen"))
	r.Lists(v["registryMode"] == "on_request")
	return names, n.Err
}

func level(word string) routing.Consistency {
	switch word {
	case "any":
		return routing.Eventual
	case "bounded":
		return routing.BoundedStaleness
	case "session":
		return routing.ReadYourWrites
	case "fresh":
		return routing.Latest
	}
	return routing.Write
}
