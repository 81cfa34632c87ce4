package config

import (
	"errors"
	"fmt"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes is the longest name in bytes.
const MaxNameBytes = 128

// CheckName reports why s can't name a worker, data centre, rack, team,
// service, class or job, or nil. Names are letters, digits, '-', '_' and '.'.
func CheckName(s string) error {
	switch {
	case s == "":
		return errors.New("the name is empty")
	case len(s) > MaxNameBytes:
		return fmt.Errorf("the name is longer than %d bytes", MaxNameBytes)
	case !utf8.ValidString(s):
		return fmt.Errorf("%q is not valid UTF-8", s)
	}
	for _, c := range s {
		if unicode.IsLetter(c) || unicode.IsDigit(c) || c == '-' || c == '_' || c == '.' {
			continue
		}
		return fmt.Errorf("%q has the character %q; names are letters, digits, '-', '_' and '.'", s, c)
	}
	return nil
}
