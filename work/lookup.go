package work

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Lookup asks for the slips of a word.
type Lookup struct {
	Word string `json:"word"`
}

// LookupResult is the answer to a Lookup. It repeats the word, so that a caller can
// tell the answer for its own.
type LookupResult struct {
	Word  string `json:"word"`
	Count int    `json:"count"`
	Slips []Slip `json:"slips"`
}

// Index finds slips by headword, whatever the case and the accents.
type Index struct {
	words map[string][]Slip
}

// NewIndex returns an index of the slips.
func NewIndex(slips []Slip) *Index {
	ix := &Index{words: map[string][]Slip{}}
	for _, s := range slips {
		w := fold(s.Headword)
		ix.words[w] = append(ix.words[w], s)
	}
	return ix
}

// Find returns the slips of a word in the order of the index.
func (ix *Index) Find(word string) LookupResult {
	s := ix.words[fold(word)]
	if s == nil {
		s = []Slip{}
	}
	return LookupResult{Word: word, Count: len(s), Slips: s}
}

// Answer takes a Lookup as JSON and returns a Found as JSON.
func (ix *Index) Answer(body []byte) ([]byte, error) {
	var l Lookup
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, jsonError("lookup", body, err)
	}
	if strings.TrimSpace(l.Word) == "" {
		return nil, errors.New(`lookup: "word" is missing or empty`)
	}
	return json.Marshal(ix.Find(l.Word))
}

// accents maps the accented vowels of Spanish to plain ones. The ñ is a letter
// of its own.
var accents = strings.NewReplacer("á", "a", "é", "e", "í", "i", "ó", "o", "ú", "u", "ü", "u")

// fold returns the form of a word by which it is found.
func fold(word string) string {
	return accents.Replace(strings.ToLower(strings.TrimSpace(word)))
}

// jsonError adds the place of a fault in a JSON text, as far as it is known.
func jsonError(what string, body []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var typ *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &typ):
		offset = typ.Offset
	}
	if offset < 0 || offset > int64(len(body)) {
		return fmt.Errorf("%s: %w", what, err)
	}
	before := string(body[:offset])
	line := 1 + strings.Count(before, "\n")
	column := int(offset) - (strings.LastIndex(before, "\n") + 1)
	return fmt.Errorf("%s:%d:%d: %w", what, line, max(column, 1), err)
}
