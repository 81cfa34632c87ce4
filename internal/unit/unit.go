// Package unit parses and formats quantities with units, for settings and
// operators' statements.
//
// Durations are written as in "500ms", "15s" or "1h30m". Memory is written in MB,
// GB or TB with decimal prefixes (1 GB = 1000 MB) and returned in MB. CPU is written
// in cores, a decimal number with up to three decimal places, and returned in
// millicores. Errors quote the input and show a valid form.
//
// # Usage
//
//	mb, err := unit.Memory("60GB") // 60000
//	m, err := unit.Cores("0.5")    // 500
//	d, err := unit.Duration("15s")
package unit

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Upper bounds of parsed quantities. Sums of many of them still fit an int64.
const (
	MaxMemoryMB   = 1_000_000_000_000 // an exabyte
	MaxMillicores = 1_000_000_000_000 // a billion cores
)

const (
	coreDigits        = 3 // decimal places of a number of cores
	millicoresPerCore = 1000
)

// memoryUnits lists the memory units and their sizes in MB, in descending order.
var memoryUnits = []struct {
	name string
	mb   int64
}{{"TB", 1_000_000}, {"GB", 1000}, {"MB", 1}}

// Duration parses a duration. A negative one is an error.
func Duration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, durationError(s)
	}
	if d < 0 {
		return 0, fmt.Errorf("%q is negative", s)
	}
	return d, nil
}

func durationError(s string) error {
	switch number, suffix := split(s); {
	case number == "":
		return fmt.Errorf("%q is not a duration; write one such as 500ms, 15s or 10m", s)
	case suffix == "":
		return fmt.Errorf("%q has no unit; write %sms, %ss, %sm or %sh", s, number, number, number, number)
	default:
		return fmt.Errorf("%q is not a duration; its units are ms, s, m and h", s)
	}
}

// FormatDuration formats d without trailing zero minutes and seconds, 10m for
// 10m0s.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Memory parses an amount of memory and returns it in MB. An unknown unit, a
// fraction of an MB and more than MaxMemoryMB are errors.
func Memory(s string) (int64, error) {
	number, suffix := split(s)
	if number == "" {
		return 0, fmt.Errorf("%q is not an amount of memory; write one such as 512MB or 4GB", s)
	}
	if suffix == "" {
		return 0, fmt.Errorf("%q has no unit; write %sMB, %sGB or %sTB", s, number, number, number)
	}
	for _, u := range memoryUnits {
		if suffix != u.name {
			continue
		}
		mb, err := decimal(number, u.mb)
		if err != nil {
			return 0, fmt.Errorf("%q: %w", s, err)
		}
		if mb > MaxMemoryMB {
			return 0, fmt.Errorf("%q is more than %s", s, FormatMemory(MaxMemoryMB))
		}
		return mb, nil
	}
	return 0, fmt.Errorf("%q has the unknown unit %q; units of memory are MB, GB and TB", s, suffix)
}

// FormatMemory formats an amount of memory in the largest unit that divides it.
func FormatMemory(mb int64) string {
	for _, u := range memoryUnits {
		if mb >= u.mb && mb%u.mb == 0 {
			return strconv.FormatInt(mb/u.mb, 10) + u.name
		}
	}
	return strconv.FormatInt(mb, 10) + "MB"
}

// Cores parses a number of cores and returns it in millicores. A unit, a fraction
// of a millicore and more than MaxMillicores are errors.
func Cores(s string) (int64, error) {
	number, suffix := split(s)
	if number == "" || suffix != "" {
		return 0, fmt.Errorf("%q is not a number of cores; write one such as 2 or 0.5", s)
	}
	m, err := decimal(number, millicoresPerCore)
	if err != nil {
		return 0, fmt.Errorf("%q: %w", s, err)
	}
	if m > MaxMillicores {
		return 0, fmt.Errorf("%q is more than %s cores", s, FormatCores(MaxMillicores))
	}
	return m, nil
}

// FormatCores formats millicores as a decimal number of cores.
func FormatCores(millicores int64) string {
	s := strconv.FormatInt(millicores/millicoresPerCore, 10)
	if rest := millicores % millicoresPerCore; rest != 0 {
		s += "." + strings.TrimRight(fmt.Sprintf("%0*d", coreDigits, rest), "0")
	}
	return s
}

// split splits a quantity into its number and its unit. Either may be empty.
func split(s string) (number, suffix string) {
	i := 0
	for i < len(s) && (s[i] >= '0' && s[i] <= '9' || s[i] == '.') {
		i++
	}
	return s[:i], s[i:]
}

// decimal returns number times scale, a power of ten. A product that is not an
// integer is an error.
func decimal(number string, scale int64) (int64, error) {
	whole, frac, dotted := strings.Cut(number, ".")
	if whole == "" || dotted && frac == "" || strings.Contains(frac, ".") {
		return 0, fmt.Errorf("%s is not a decimal number", number)
	}
	n, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || n > MaxMemoryMB {
		return 0, errors.New("the number is too large")
	}
	total := n * scale
	for _, digit := range frac {
		if scale%10 != 0 {
			if digit != '0' {
				return 0, errors.New("the number has too many decimal places")
			}
			continue
		}
		scale /= 10
		total += int64(digit-'0') * scale
	}
	return total, nil
}
