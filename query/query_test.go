package query_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayloft/config"
	"jayloft/core"
	"jayloft/query"
)

var now = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func TestParse(t *testing.T) {
	version := core.VersionCond{Set: true, N: 41}
	size := core.Size{Millicores: 2000, MemoryMB: 4000}
	tests := []struct {
		in   string
		want core.Command
	}{
		{`show workers`, core.Show{Kind: "workers"}},
		{`show tasks where dc = "bog-1" and state = running and team != uni`, core.Show{Kind: "tasks", Where: []core.Match{
			{Column: "dc", Op: "=", Value: "bog-1"}, {Column: "state", Op: "=", Value: "running"}, {Column: "team", Op: "!=", Value: "uni"},
		}}},
		{`show idle where reason = room`, core.Show{Kind: "idle", Where: []core.Match{{Column: "reason", Op: "=", Value: "room"}}}},
		{`show jobs where tasks>3`, core.Show{Kind: "jobs", Where: []core.Match{{Column: "tasks", Op: ">", Value: "3"}}}},
		{`why task "import-1.3"`, core.Why{Kind: "task", ID: "import-1.3"}},
		{`why request 9f3a`, core.Why{Kind: "request", ID: "9f3a"}},
		{`create service lookup team fichero idempotent timeout 1500ms cores 2 memory 4GB if version 41`, core.CreateService{
			Row: core.ServiceRow{Name: "lookup", Team: "fichero", Idempotent: true, Timeout: 1500 * time.Millisecond, Size: size}, If: version,
		}},
		{`create dc "bog-1"`, core.CreateDC{Row: core.DCRow{Name: "bog-1"}}},
		{`create team "uni" cores 40 memory 100GB weight 2`, core.CreateTeam{
			Row: core.TeamRow{Name: "uni", Quota: core.Size{Millicores: 40_000, MemoryMB: 100_000}, Weight: 2},
		}},
		{"create job import-1 team uni class import\n  cores 2 memory 4GB accelerators 1 urgent once\n  inputs \"a b\", c, \"\"", core.CreateJob{Spec: core.JobSpec{
			ID: "import-1", Team: "uni", Class: "import", Size: size.Plus(core.Size{Accelerators: 1}),
			Urgent: true, Once: true, Inputs: []string{"a b", "c", ""},
		}}},
		{`create job "j" team "t" class "c" cores 2 memory 4GB tasks 2`, core.CreateJob{Spec: core.JobSpec{
			ID: "j", Team: "t", Class: "c", Size: size, Inputs: []string{"", ""},
		}}},
		{`cancel job "import-1" -- wrong file`, core.CancelJob{Job: "import-1"}},
		{`drain dc "med-1" by 10m if version 41;`, core.Drain{DC: "med-1", Deadline: now.Add(10 * time.Minute), If: version}},
		{`drain dc med-1`, core.Drain{DC: "med-1", Deadline: now.Add(time.Minute)}},
		{`drain dc med-1 by 2026-12-04T05:00:30.5-05:00`, core.Drain{DC: "med-1", Deadline: now.Add(time.Hour + 30500*time.Millisecond)}},
		{`return dc "med-1"`, core.Return{DC: "med-1"}},
		{`set checkpoint 20s if version 41`, core.SetPolicy{Row: core.PolicyRow{Name: "checkpoint", Value: 20}, If: version}},
		{`set hedges 0.25`, core.SetPolicy{Row: core.PolicyRow{Name: "hedges", Value: 0.25}}},
	}
	for _, tc := range tests {
		got, err := query.Parse(tc.in, now)
		assert.NilError(t, err, tc.in)
		assert.DeepEqual(t, got, tc.want)
	}
}

func TestParseFindings(t *testing.T) {
	tests := []struct {
		in   string
		want []string
	}{
		{"", []string{"1:1: the text contains no statement"}},
		{"# only this", []string{"1:1: the text contains no statement"}},
		{"frobnicate x", []string{`1:1: unknown statement "frobnicate"; the verbs are show, why,`}},
		{"show", []string{"1:1: show needs one of workers, tasks"}},
		{"show wokers where", []string{
			`1:6: show takes workers, tasks, jobs, idle, services, dcs, teams, policy, entries, not "wokers"`,
			"a condition is a column, a comparison and a value",
		}},
		{`show tasks where dc == bog-1 and state = and , = 3 and x = ""`, []string{
			`1:21: unknown comparison operator "=="`,
			`1:34: a condition is`,
			`1:46: a condition is`,
			`1:60: the value is empty`,
		}},
		{`why thing`, []string{"1:1: the id is missing", `1:5: why takes task, job, worker, request, dc, not "thing"`}},
		{`create service "look up" idempotent yes timeout 2 cores 2GB memory 4 speed 9 if version x`, []string{
			`1:1: create service needs team`,
			`1:16: "look up" has the character ' '`,
			`1:37: idempotent takes no value`,
			`1:49: "2" has no unit; write 2ms, 2s, 2m or 2h`,
			`1:57: "2GB" is not a number of cores`,
			`1:68: "4" has no unit; write 4MB, 4GB or 4TB`,
			`1:70: create service takes no "speed"; its options are team, idempotent, timeout, if version, cores`,
			`1:89: "x" is not a version`,
		}},
		{`create job "a.b" team team class "c" cores 0 memory 99999TB tasks 0 inputs "a" "b", once`, []string{
			`1:1: create job takes either inputs or tasks, not both`,
			`1:12: "a.b" contains a dot`,
			`1:18: team needs a value, such as team "uni"`,
			`1:23: team is given twice`,
			`1:44: 0 is not between 0.001 and 4096`,
			`1:53: 99999TB is not between 1MB and 64TB`,
			`1:67: 0 is not between 1 and 256`,
			`1:80: missing ',' between values`,
			`1:83: unexpected ,`,
		}},
		{`create job j team t class c cores 1 memory 1GB`, []string{`1:1: create job needs inputs "a", "b" or tasks 2`}},
		{`create vm x`, []string{`1:8: create takes service, dc, team, job, not "vm"`}},
		{`cancel job j now`, []string{`1:14: cancel takes no "now"`}},
		{`drain med-1 by 10m`, []string{`1:1: the name is missing`, `1:7: drain takes dc, not "med-1"`}},
		{`drain dc med-1 by`, []string{`1:16: by needs a value, such as by 10m`}},
		{`drain dc med-1 by 9999h`, []string{`1:19: the time is more than 168h in the future`}},
		{`drain dc med-1 by 2026-12-04T08:00:00Z`, []string{`1:19: the time is 1h in the past`}},
		{`drain dc med-1 by 2026-12-04T08:00:00`, []string{`1:19: "2026-12-04T08:00:00" is not a time; use a time with a zone`}},
		{`return dc med-1 version 4 if`, []string{`1:17: want if before version`, `1:27: want version and a number after if`}},
		{`set lease 20s`, []string{`1:5: lease must be the same in every process at all times and can only be changed in the settings; set takes checkpoint`}},
		{`set laese 20s`, []string{`1:5: unknown policy parameter "laese"`}},
		{`set`, []string{`1:1: set needs the name of a policy parameter`}},
		{`set hedges`, []string{`1:5: set hedges needs a value`}},
		{`set hedges = 2`, []string{`1:5: set hedges needs a value`, `1:12: unexpected =`}},
		{`set hedges 2 3`, []string{`1:12: 2 is not between 0 and 1`, `1:14: unexpected 3`}},
		{`drain dc "med-1`, []string{`1:10: unterminated string`}},
		{"drain dc @@ med-1 ~", []string{`1:10: unexpected character "@"`, `1:19: unexpected character "~"`}},
		{"show workers\nshow tusks", []string{`2:1: unexpected second statement`, `2:6: show takes`}},
		{"show jobs where ñ = \"ñ\" and x", []string{`1:29: a condition is`}},
		{"why job \"\\q\"", []string{`1:9: "\q" is not a valid string`}},
		{"why job \"\\xff\"", []string{`1:9: the id is not valid UTF-8`}},
		{"why job \xff", []string{`1:9: the text is not valid UTF-8`}},
	}
	for _, tc := range tests {
		cmd, err := query.Parse(tc.in, now)
		var fs config.Findings
		assert.Assert(t, errors.As(err, &fs), "%s: %v", tc.in, err)
		assert.Assert(t, cmd == nil, tc.in)
		for i, f := range fs {
			if i < len(tc.want) {
				assert.Assert(t, strings.Contains(f.String(), tc.want[i]), "%s: finding %d: %s", tc.in, i, f)
			}
		}
		assert.Equal(t, len(fs), len(tc.want), "%s:\n%v", tc.in, err)
	}
}

func TestParseAll(t *testing.T) {
	stmts, err := query.ParseAll(`
# the data centres
create dc "bog-1"; create dc "bog-2"
create job j team uni class import
	cores 1 memory 1GB -- each
	tasks 3

show jobs`, now)
	assert.NilError(t, err)
	var got []string
	for _, s := range stmts {
		got = append(got, s.Text)
	}
	assert.DeepEqual(t, got, []string{
		`create dc "bog-1"`,
		`create dc "bog-2"`,
		"create job j team uni class import\n\tcores 1 memory 1GB -- each\n\ttasks 3",
		`show jobs`,
	})
	assert.Equal(t, stmts[2].Line, 4)
	assert.Equal(t, query.String(stmts[2].Command), `create job "j" team "uni" class "import" cores 1 memory 1GB tasks 3`)

	_, err = query.ParseAll("create dc \"a b\"\nshow jobs\n\nfly away\n", now)
	var fs config.Findings
	assert.Assert(t, errors.As(err, &fs))
	assert.Equal(t, len(fs), 2)
	assert.Equal(t, fs[0].Line, 1)
	assert.Equal(t, fs[1].Line, 4)
}

func TestParseTooLong(t *testing.T) {
	_, err := query.Parse("show jobs #"+strings.Repeat("x", query.MaxSourceBytes), now)
	assert.ErrorContains(t, err, "longer than 1048576 bytes")
}

func TestParseAllEmpty(t *testing.T) {
	stmts, err := query.ParseAll("# nothing yet\n;;\n", now)
	assert.NilError(t, err)
	assert.Equal(t, len(stmts), 0)
}

func TestSettableParamsHaveSettings(t *testing.T) {
	for name := range core.PolicyNames {
		_, ok := config.FindParam(name)
		assert.Assert(t, ok, name)
	}
}
