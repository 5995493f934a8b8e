package sexp

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// singleValue returns the value of a name. It returns nil if the name is absent, or if it does not have exactly one
// scalar value, which is an error.
func (p *Part) singleValue(name, want string) *node {
	found, values := p.lookup(name)
	if found == nil {
		return nil
	}
	if len(values) != 1 {
		p.file.addError(found.Pos, fmt.Sprintf("%q with %d values", name, len(values)), "one: "+want)
		return nil
	}
	if values[0].List != nil {
		p.file.addError(values[0].Pos, "a list", want)
		return nil
	}
	return values[0]
}

// Text returns the string value of a name, or the default if the name is absent.
func (p *Part) Text(name, defaultValue string) string {
	value := p.singleValue(name, "a string")
	switch {
	case value == nil:
		return defaultValue
	case value.Text != nil:
		return *value.Text
	}
	return *value.Word
}

// Texts returns the string values of a name, of which there may be any number.
func (p *Part) Texts(name string) (texts []string) {
	_, values := p.lookup(name)
	for _, value := range values {
		switch {
		case value.Text != nil:
			texts = append(texts, *value.Text)
		case value.Word != nil:
			texts = append(texts, *value.Word)
		default:
			p.file.addError(value.Pos, "a list", "a string")
		}
	}
	return texts
}

// Number returns the numeric value of a name, or the default if the name is absent. An invalid or out-of-range value is
// an error and gives the default.
func (p *Part) Number(name string, defaultValue, minimum, maximum float64) float64 {
	want := fmt.Sprintf("a number from %s to %s", formatNumber(minimum), formatNumber(maximum))
	value := p.singleValue(name, want)
	if value == nil {
		return defaultValue
	}
	if value.Word != nil {
		number, err := strconv.ParseFloat(*value.Word, 64)
		if err == nil && number >= minimum && number <= maximum {
			return number
		}
	}
	p.file.addError(value.Pos, value.String(), want)
	return defaultValue
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// Integer returns the integer value of a name, or the default if the name is absent. An invalid or out-of-range value
// is an error and gives the default.
func (p *Part) Integer(name string, defaultValue, minimum, maximum int) int {
	want := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	value := p.singleValue(name, want)
	if value == nil {
		return defaultValue
	}
	if value.Word != nil {
		number, err := strconv.Atoi(*value.Word)
		if err == nil && number >= minimum && number <= maximum {
			return number
		}
	}
	p.file.addError(value.Pos, value.String(), want)
	return defaultValue
}

// unit is the suffix of a quantity and its size in the smallest unit.
type unit struct {
	name   string
	factor float64
}

// Units, from the smallest to the largest.
var (
	durationUnits = []unit{{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}}
	sizeUnits     = []unit{{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}
)

// Duration returns the duration of a name in microseconds, or the default if the name is absent. An invalid or
// out-of-range value is an error and gives the default.
func (p *Part) Duration(name string, defaultValue, minimum, maximum int64) int64 {
	return p.quantity(name, defaultValue, minimum, maximum, "a duration", durationUnits)
}

// Size returns the size of a name in bytes, or the default if the name is absent. An invalid or out-of-range value is
// an error and gives the default.
func (p *Part) Size(name string, defaultValue, minimum, maximum int64) int64 {
	return p.quantity(name, defaultValue, minimum, maximum, "a size", sizeUnits)
}

// quantity returns a number with a unit, converted to the smallest unit.
func (p *Part) quantity(name string, defaultValue, minimum, maximum int64, kind string, units []unit) int64 {
	want := fmt.Sprintf("%s from %s to %s", kind, formatQuantity(minimum, units), formatQuantity(maximum, units))
	value := p.singleValue(name, want)
	if value == nil {
		return defaultValue
	}
	if value.Word != nil {
		amount, ok := parseQuantity(*value.Word, float64(minimum), float64(maximum), units)
		if ok {
			return amount
		}
	}
	p.file.addError(value.Pos, value.String(), want)
	return defaultValue
}

// parseQuantity tries each unit whose suffix matches ("5ms" also ends in "s") and returns the first result that is a
// number within the bounds.
func parseQuantity(word string, minimum, maximum float64, units []unit) (amount int64, ok bool) {
	for _, u := range units {
		digits, fits := strings.CutSuffix(word, u.name)
		if !fits {
			continue
		}
		number, err := strconv.ParseFloat(digits, 64)
		if err != nil {
			continue
		}
		rounded := math.Round(number * u.factor)
		if rounded >= minimum && rounded <= maximum {
			return int64(rounded), true
		}
	}
	return 0, false
}

// formatQuantity formats a quantity in the largest unit of which it is an integer multiple.
func formatQuantity(v int64, units []unit) string {
	for i := len(units) - 1; i > 0; i-- {
		factor := int64(units[i].factor)
		if v >= factor && v%factor == 0 {
			return fmt.Sprint(v/factor, units[i].name)
		}
	}
	return fmt.Sprint(v, units[0].name)
}
