package io

import (
	"errors"

	"jayloft/config"
	"jayloft/wire"
)

// outcomeInvalid is the outcome of a statement that can't be parsed.
const outcomeInvalid = "invalid"

// invalidStatement returns the response to a statement that can't be parsed, with
// all findings and their positions.
func invalidStatement(err error) *wire.DoResponse {
	res := &wire.DoResponse{Outcome: outcomeInvalid, Text: "the statement can't be parsed"}
	var found config.Findings
	if !errors.As(err, &found) {
		res.Text = err.Error()
		return res
	}
	for _, f := range found {
		res.Findings = append(res.Findings, &wire.Finding{
			Line: int32(f.Line), Column: int32(f.Column), Text: f.Text,
		})
	}
	return res
}
