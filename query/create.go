package query

import (
	"jayloft/core"
)

// create converts a statement that creates a service, data centre, team or job.
func (c *checker) create(a *objectStmt) core.Command {
	switch kind := c.objectKind("create", a.Kind, createKinds); kind {
	case "service":
		return c.service(a)
	case "dc":
		cmd := core.CreateDC{Row: core.DCRow{Name: core.DC(c.name(a.Name, "the name"))}}
		c.checkOptions("create dc", a.Rest, versionOption(&cmd.If))
		return cmd
	case "team":
		return c.team(a)
	case "job":
		return c.createJob(a)
	}
	return nil
}

func (c *checker) service(a *objectStmt) core.Command {
	cmd := core.CreateService{}
	cmd.Row.Name = c.name(a.Name, "the name")
	specs := []optionSpec{
		nameOption("team", &cmd.Row.Team),
		flagOption("idempotent", &cmd.Row.Idempotent),
		durationOption("timeout", &cmd.Row.Timeout, minTimeout, maxTimeout),
		versionOption(&cmd.If),
	}
	specs = append(specs, sizeOptions(&cmd.Row.Size, false, core.Size{}, maxTaskSize())...)
	c.checkOptions("create service", a.Rest, specs...)
	return cmd
}

func (c *checker) team(a *objectStmt) core.Command {
	cmd := core.CreateTeam{Row: core.TeamRow{Name: core.Team(c.name(a.Name, "the name"))}}
	weight := int64(0)
	high := core.Size{Millicores: maxQuota, MemoryMB: maxQuota, Accelerators: maxQuota}
	specs := sizeOptions(&cmd.Row.Quota, false, core.Size{}, high)
	specs = append(specs, countOption("weight", 1, maxWeight).spec(&weight), versionOption(&cmd.If))
	c.checkOptions("create team", a.Rest, specs...)
	cmd.Row.Weight = int(weight)
	return cmd
}

func (c *checker) createJob(a *objectStmt) core.Command {
	job := core.JobSpec{ID: c.jobID(a.Name)}
	tasks := int64(0)
	specs := []optionSpec{
		nameOption("team", &job.Team),
		nameOption("class", &job.Class),
		flagOption("urgent", &job.Urgent),
		flagOption("once", &job.Once),
		{"inputs", false, func(c *checker, o option) { c.list(o, &job.Inputs) }},
		countOption("tasks", 1, core.MaxTasks).spec(&tasks),
	}
	low := core.Size{Millicores: 1, MemoryMB: 1}
	specs = append(specs, sizeOptions(&job.Size, true, low, maxTaskSize())...)
	before := len(c.findings)
	c.checkOptions("create job", a.Rest, specs...)
	c.setInputs(a, &job, int(tasks), len(c.findings) > before)
	return core.CreateJob{Spec: job}
}

// setInputs requires either inputs or tasks. With tasks, each task gets an empty
// input; this is skipped if the options are faulty, as tasks may not be valid.
func (c *checker) setInputs(a *objectStmt, s *core.JobSpec, tasks int, faulty bool) {
	given := map[string]bool{}
	for _, o := range a.Rest {
		given[o.Key] = true
	}
	switch {
	case given["inputs"] && given["tasks"]:
		c.reportf(c.start, "create job takes either inputs or tasks, not both")
	case !given["inputs"] && !given["tasks"]:
		c.reportf(c.start, `create job needs inputs "a", "b" or tasks 2`)
	case len(s.Inputs) > core.MaxTasks:
		c.reportf(c.start, "create job takes at most %d inputs, not %d", core.MaxTasks, len(s.Inputs))
	case given["tasks"] && !faulty:
		s.Inputs = make([]string, tasks)
	}
}

// maxTaskSize returns the maximum size of a task or a service.
func maxTaskSize() core.Size {
	return core.Size{Millicores: maxTaskMillicores, MemoryMB: maxTaskMemoryMB, Accelerators: maxAccelerators}
}
