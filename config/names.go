package config

import (
	"errors"
	"fmt"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes limits the length of a name.
const MaxNameBytes = 128

// CheckName returns an error unless s is a valid name of a worker, data centre,
// rack, team, service, class or job. Names consist of 1 to MaxNameBytes bytes
// of letters, digits, '-', '_' and '.'.
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
		return fmt.Errorf("%q has the character %q; names consist of letters, digits, '-', '_' and '.'", s, c)
	}
	return nil
}
