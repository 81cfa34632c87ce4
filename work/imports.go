package work

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strings"
)

// ImportResult is the output of an import.
type ImportResult struct {
	Accepted int      `json:"accepted"`
	Rejected int      `json:"rejected"`
	Digest   string   `json:"digest"` // of the accepted slips
	Findings []string `json:"findings,omitempty"`
}

// Import validates a CSV text of new slips and returns an ImportResult as JSON.
// Each line is either accepted or reported with its position and the reason. It
// returns an error if the text has no valid slip.
func Import(text string) (string, error) {
	p := parseSlips("input", text)
	err := p.findings.Err()
	if len(p.slips) == 0 && err == nil {
		err = errors.New("import: the text has no slips")
	}
	if len(p.slips) == 0 {
		return "", err
	}
	out := ImportResult{Accepted: len(p.slips), Rejected: p.rejected, Digest: Digest(p.slips)}
	for _, f := range p.findings {
		out.Findings = append(out.Findings, f.String())
	}
	b, err := json.Marshal(out)
	return string(b), err
}

// Digest returns the SHA-256 of the slips in their order, in hex.
func Digest(slips []Slip) string {
	const fieldEnd, slipEnd = "\x1f", "\x1e"
	h := sha256.New()
	for _, s := range slips {
		row := []string{s.ID, s.Headword, s.Quotation, s.Source, s.Place, s.Date}
		h.Write([]byte(strings.Join(row, fieldEnd) + slipEnd))
	}
	return hex.EncodeToString(h.Sum(nil))
}
