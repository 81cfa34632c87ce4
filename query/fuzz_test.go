package query_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jayloft/config"
	"jayloft/core"
	"jayloft/query"
)

func names(t *rapid.T, label string) string {
	return rapid.StringMatching(`[A-Za-zñ0-9_][A-Za-z0-9_-]{0,11}`).Draw(t, label)
}

func texts(t *rapid.T, label string) string {
	return rapid.StringN(1, 20, 80).Draw(t, label)
}

func versions(t *rapid.T) core.VersionCond {
	if !rapid.Bool().Draw(t, "if") {
		return core.VersionCond{}
	}
	return core.VersionCond{Set: true, N: rapid.Uint64().Draw(t, "n")}
}

func sizes(t *rapid.T, low int64) core.Size {
	return core.Size{
		Millicores:   rapid.Int64Range(low, 4_096_000).Draw(t, "millicores"),
		MemoryMB:     rapid.Int64Range(low, 64_000_000).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 1024).Draw(t, "accelerators"),
	}
}

// commands draws any command that has a statement.
func commands(t *rapid.T) core.Command {
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		var where []core.Match
		for range rapid.IntRange(0, 3).Draw(t, "conditions") {
			where = append(where, core.Match{
				Column: rapid.SampledFrom([]string{"dc", "state", "team", "memory"}).Draw(t, "column"),
				Op:     rapid.SampledFrom([]string{"=", "!=", "<", ">", "<=", ">="}).Draw(t, "op"),
				Value:  texts(t, "value"),
			})
		}
		return core.Show{Kind: rapid.SampledFrom([]string{"workers", "tasks", "idle", "teams"}).Draw(t, "rows"), Where: where}
	case 1:
		return core.Why{Kind: rapid.SampledFrom([]string{"task", "job", "worker", "request", "dc"}).Draw(t, "thing"), ID: texts(t, "id")}
	case 2:
		return core.CreateService{Row: core.ServiceRow{
			Name: names(t, "name"), Team: core.Team(names(t, "team")), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Timeout: time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(10*time.Minute)).Draw(t, "timeout")),
			Size:    sizes(t, 0),
		}, If: versions(t)}
	case 3:
		return core.CreateDC{Row: core.DCRow{Name: core.DC(names(t, "name"))}, If: versions(t)}
	case 4:
		return core.CreateTeam{Row: core.TeamRow{
			Name: core.Team(names(t, "name")), Quota: sizes(t, 0), Weight: rapid.IntRange(0, 1000).Draw(t, "weight"),
		}, If: versions(t)}
	case 5:
		return core.CreateJob{Spec: core.JobSpec{
			ID: core.JobID(names(t, "id")), Team: core.Team(names(t, "team")), Class: names(t, "class"), Size: sizes(t, 1),
			Inputs: rapid.SliceOfN(rapid.String(), 1, 5).Draw(t, "inputs"),
			Urgent: rapid.Bool().Draw(t, "urgent"), Once: rapid.Bool().Draw(t, "once"),
		}}
	case 6:
		return core.CancelJob{Job: core.JobID(names(t, "id"))}
	case 7:
		in := time.Duration(rapid.Int64Range(0, int64(7*24*time.Hour)).Draw(t, "in"))
		return core.Drain{DC: core.DC(names(t, "dc")), Deadline: now.Add(in), If: versions(t)}
	case 8:
		return core.Return{DC: core.DC(names(t, "dc")), If: versions(t)}
	default:
		return core.SetPolicy{Row: core.PolicyRow{Name: "retries", Value: rapid.Float64Range(0, 1).Draw(t, "value")}, If: versions(t)}
	}
}

func TestStringRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := commands(t)
		got, err := query.Parse(query.String(want), now)
		assert.NilError(t, err, query.String(want))
		assert.DeepEqual(t, got, want)
	})
}

// FuzzParse requires that every finding has a position in the source, and that the
// source text and the canonical form of a statement parse to the same command.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		`show tasks where dc = "bog-1" and state != running`,
		`create service "lookup" team "fichero" idempotent timeout 2s cores 2 memory 4GB if version 1`,
		`create job "i" team "uni" class import cores 0.5 memory 4GB urgent once inputs "a", "\u00f1"`,
		`create team x cores 40 weight 2`,
		`drain dc "med-1" by 10m if version 3`,
		`drain dc "med-1" by 2026-12-04T10:00:00+01:00`,
		`set retries 1e-3`,
		"why job \"a\" -- x\nreturn dc b;\n  cancel job c # y",
		`show "`, `create if version , = <>`,
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, src string) {
		lines := strings.Count(src, "\n") + 1
		stmts, err := query.ParseAll(src, now)
		var fs config.Findings
		if err != nil {
			assert.Assert(t, errors.As(err, &fs), "%v", err)
		}
		for _, x := range fs {
			assert.Assert(t, x.Line >= 1 && x.Line <= lines && x.Column >= 1 && x.Text != "", "%v", x)
		}
		for _, s := range stmts {
			for _, text := range []string{s.Text, query.String(s.Command)} {
				again, err := query.Parse(text, now)
				assert.NilError(t, err, text)
				assert.DeepEqual(t, again, s.Command)
			}
		}
	})
}
