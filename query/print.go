package query

import (
	"strconv"
	"strings"
	"time"

	"jayloft/config"
	"jayloft/core"
	"jayloft/internal/unit"
)

// String returns the canonical statement of a command. Parse converts it back to
// an equal command.
func String(cmd core.Command) string {
	var p printer
	switch cmd := cmd.(type) {
	case core.Show:
		p.show(cmd)
	case core.Why:
		p.add("why", cmd.Kind, strconv.Quote(cmd.ID))
	case core.CreateService:
		p.service(cmd)
	case core.CreateDC:
		p.add("create dc", strconv.Quote(string(cmd.Row.Name)))
		p.ifVersion(cmd.If)
	case core.CreateTeam:
		p.team(cmd)
	case core.CreateJob:
		p.job(cmd.Spec)
	case core.CancelJob:
		p.add("cancel job", strconv.Quote(string(cmd.Job)))
	case core.Drain:
		p.add("drain dc", strconv.Quote(string(cmd.DC)), "by", cmd.Deadline.UTC().Format(time.RFC3339Nano))
		p.ifVersion(cmd.If)
	case core.Return:
		p.add("return dc", strconv.Quote(string(cmd.DC)))
		p.ifVersion(cmd.If)
	case core.SetPolicy:
		p.set(cmd)
	}
	return strings.Join(p.words, " ")
}

// printer accumulates the words of a statement.
type printer struct{ words []string }

func (p *printer) add(words ...string) { p.words = append(p.words, words...) }

func (p *printer) flag(key string, set bool) {
	if set {
		p.add(key)
	}
}

func (p *printer) size(s core.Size) {
	if s.Millicores != 0 {
		p.add("cores", unit.FormatCores(s.Millicores))
	}
	if s.MemoryMB != 0 {
		p.add("memory", unit.FormatMemory(s.MemoryMB))
	}
	if s.Accelerators != 0 {
		p.add("accelerators", strconv.FormatInt(s.Accelerators, 10))
	}
}

func (p *printer) ifVersion(v core.VersionCond) {
	if v.Set {
		p.add("if version", strconv.FormatUint(v.N, 10))
	}
}

func (p *printer) show(s core.Show) {
	p.add("show", s.Kind)
	word := "where"
	for _, m := range s.Where {
		p.add(word, m.Column, m.Op, strconv.Quote(m.Value))
		word = "and"
	}
}

func (p *printer) service(s core.CreateService) {
	p.add("create service", strconv.Quote(s.Row.Name), "team", strconv.Quote(string(s.Row.Team)))
	p.flag("idempotent", s.Row.Idempotent)
	p.add("timeout", unit.FormatDuration(s.Row.Timeout))
	p.size(s.Row.Size)
	p.ifVersion(s.If)
}

func (p *printer) team(t core.CreateTeam) {
	p.add("create team", strconv.Quote(string(t.Row.Name)))
	p.size(t.Row.Quota)
	if t.Row.Weight != 0 {
		p.add("weight", strconv.Itoa(t.Row.Weight))
	}
	p.ifVersion(t.If)
}

func (p *printer) job(j core.JobSpec) {
	p.add("create job", strconv.Quote(string(j.ID)), "team", strconv.Quote(string(j.Team)), "class", strconv.Quote(j.Class))
	p.size(j.Size)
	p.flag("urgent", j.Urgent)
	p.flag("once", j.Once)
	if strings.Join(j.Inputs, "") == "" {
		p.add("tasks", strconv.Itoa(len(j.Inputs)))
		return
	}
	quoted := make([]string, len(j.Inputs))
	for i, in := range j.Inputs {
		quoted[i] = strconv.Quote(in)
	}
	p.add("inputs", strings.Join(quoted, ", "))
}

func (p *printer) set(s core.SetPolicy) {
	value := strconv.FormatFloat(s.Row.Value, 'f', -1, 64)
	if n, ok := config.FindParam(s.Row.Name); ok {
		value = n.Format(s.Row.Value)
	}
	p.add("set", s.Row.Name, value)
	p.ifVersion(s.If)
}
