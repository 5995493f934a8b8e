package sexp

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// singleValue returns a name's one value. It is nil where the name is not given or has no single value, which is a fault.
func (p *Part) singleValue(name, want string) *node {
	found, values := p.lookup(name)
	if found == nil {
		return nil
	}
	if len(values) != 1 {
		p.file.addFault(found.Pos, fmt.Sprintf("%q with %d values", name, len(values)), "one: "+want)
		return nil
	}
	if values[0].List != nil {
		p.file.addFault(values[0].Pos, "a list", want)
		return nil
	}
	return values[0]
}

// Text returns a name's text, or otherwise where it is not given.
func (p *Part) Text(name, otherwise string) string {
	value := p.singleValue(name, "a text")
	switch {
	case value == nil:
		return otherwise
	case value.Text != nil:
		return *value.Text
	}
	return *value.Word
}

// Texts returns a name's texts, none or more.
func (p *Part) Texts(name string) (all []string) {
	_, values := p.lookup(name)
	for _, value := range values {
		switch {
		case value.Text != nil:
			all = append(all, *value.Text)
		case value.Word != nil:
			all = append(all, *value.Word)
		default:
			p.file.addFault(value.Pos, "a list", "a text")
		}
	}
	return all
}

// Number returns a name's number, or otherwise where it is not given. One that lies out of bounds is a fault.
func (p *Part) Number(name string, otherwise, least, most float64) float64 {
	want := fmt.Sprintf("a number from %s to %s", formatNumber(least), formatNumber(most))
	value := p.singleValue(name, want)
	if value == nil {
		return otherwise
	}
	if value.Word != nil {
		number, err := strconv.ParseFloat(*value.Word, 64)
		if err == nil && number >= least && number <= most {
			return number
		}
	}
	p.file.addFault(value.Pos, value.String(), want)
	return otherwise
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// Integer returns a name's whole number, or otherwise where it is not given. One that lies out of bounds is a fault.
func (p *Part) Integer(name string, otherwise, least, most int) int {
	want := fmt.Sprintf("a whole number from %d to %d", least, most)
	value := p.singleValue(name, want)
	if value == nil {
		return otherwise
	}
	if value.Word != nil {
		number, err := strconv.Atoi(*value.Word)
		if err == nil && number >= least && number <= most {
			return number
		}
	}
	p.file.addFault(value.Pos, value.String(), want)
	return otherwise
}

// unit is a suffix of a quantity and how many of the smallest unit it stands for.
type unit struct {
	name   string
	factor float64
}

// Units from the smallest to the largest.
var (
	durationUnits = []unit{{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}}
	sizeUnits     = []unit{{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}
)

// Duration returns a name's duration in microseconds, or otherwise where it is not given. One that lies out of bounds is a
// fault.
func (p *Part) Duration(name string, otherwise, least, most int64) int64 {
	return p.quantity(name, otherwise, least, most, "a time", durationUnits)
}

// Size returns a name's size in bytes, or otherwise where it is not given. One that lies out of bounds is a fault.
func (p *Part) Size(name string, otherwise, least, most int64) int64 {
	return p.quantity(name, otherwise, least, most, "a size", sizeUnits)
}

// quantity returns a name's number with its unit, counted in the smallest unit.
func (p *Part) quantity(name string, otherwise, least, most int64, kind string, units []unit) int64 {
	want := fmt.Sprintf("%s from %s to %s", kind, formatQuantity(least, units), formatQuantity(most, units))
	value := p.singleValue(name, want)
	if value == nil {
		return otherwise
	}
	if value.Word != nil {
		amount, ok := parseQuantity(*value.Word, float64(least), float64(most), units)
		if ok {
			return amount
		}
	}
	p.file.addFault(value.Pos, value.String(), want)
	return otherwise
}

// parseQuantity tries each unit whose suffix fits ("5ms" ends in "s" too) and takes the first that gives a number in bounds.
func parseQuantity(word string, least, most float64, units []unit) (amount int64, ok bool) {
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
		if rounded >= least && rounded <= most {
			return int64(rounded), true
		}
	}
	return 0, false
}

// formatQuantity gives a quantity in the largest unit of which it is a whole multiple.
func formatQuantity(v int64, units []unit) string {
	for i := len(units) - 1; i > 0; i-- {
		factor := int64(units[i].factor)
		if v >= factor && v%factor == 0 {
			return fmt.Sprint(v/factor, units[i].name)
		}
	}
	return fmt.Sprint(v, units[0].name)
}
