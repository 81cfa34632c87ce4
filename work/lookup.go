package work

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Lookup is a request for the slips of a word.
type Lookup struct {
	Word string `json:"word"`
}

// LookupResult is the answer to a Lookup. It repeats the word, so that a
// caller can match the answer to its request.
type LookupResult struct {
	Word  string `json:"word"`
	Count int    `json:"count"`
	Slips []Slip `json:"slips"`
}

// Index finds slips by headword, ignoring case and accents.
type Index struct {
	words map[string][]Slip
}

// NewIndex returns an index of the slips.
func NewIndex(slips []Slip) *Index {
	ix := &Index{words: map[string][]Slip{}}
	for _, s := range slips {
		w := searchKey(s.Headword)
		ix.words[w] = append(ix.words[w], s)
	}
	return ix
}

// Find returns the slips of a word in the order in which they were indexed.
func (ix *Index) Find(word string) LookupResult {
	s := ix.words[searchKey(word)]
	if s == nil {
		s = []Slip{}
	}
	return LookupResult{Word: word, Count: len(s), Slips: s}
}

// Answer takes a Lookup as JSON and returns a LookupResult as JSON. It returns
// an error if the request is malformed or has no word.
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

// searchKey returns the normalized form of a word that serves as its key in the
// index: trimmed, in lower case and without accents.
func searchKey(word string) string {
	return accents.Replace(strings.ToLower(strings.TrimSpace(word)))
}

// jsonError adds the line and column to a JSON error if the error has an offset.
func jsonError(source string, body []byte, err error) error {
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
		return fmt.Errorf("%s: %w", source, err)
	}
	before := string(body[:offset])
	line := 1 + strings.Count(before, "\n")
	column := int(offset) - (strings.LastIndex(before, "\n") + 1)
	return fmt.Errorf("%s:%d:%d: %w", source, line, max(column, 1), err)
}
