package query

import (
	"jayloft/core"
)

// create checks a statement that makes a service, data centre, team or job.
func (c *checker) create(a *about) core.Command {
	switch kind := c.kind("create", a.Kind, createKinds); kind {
	case "service":
		return c.service(a)
	case "dc":
		cmd := core.CreateDC{Row: core.DCRow{Name: core.DC(c.name(a.Name, "the name"))}}
		c.options("create dc", a.Rest, ifVersion(&cmd.If))
		return cmd
	case "team":
		return c.team(a)
	case "job":
		return c.createJob(a)
	}
	return nil
}

func (c *checker) service(a *about) core.Command {
	cmd := core.CreateService{}
	cmd.Row.Name = c.name(a.Name, "the name")
	specs := []spec{
		named("team", &cmd.Row.Team),
		flag("idempotent", &cmd.Row.Idempotent),
		length("timeout", &cmd.Row.Timeout, minTimeout, maxTimeout),
		ifVersion(&cmd.If),
	}
	specs = append(specs, size(&cmd.Row.Size, false, core.Size{}, taskSize())...)
	c.options("create service", a.Rest, specs...)
	return cmd
}

func (c *checker) team(a *about) core.Command {
	cmd := core.CreateTeam{Row: core.TeamRow{Name: core.Team(c.name(a.Name, "the name"))}}
	weight := int64(0)
	high := core.Size{Millicores: maxQuota, MemoryMB: maxQuota, Accelerators: maxQuota}
	specs := size(&cmd.Row.Quota, false, core.Size{}, high)
	specs = append(specs, count("weight", 1, maxWeight).spec(&weight), ifVersion(&cmd.If))
	c.options("create team", a.Rest, specs...)
	cmd.Row.Weight = int(weight)
	return cmd
}

func (c *checker) createJob(a *about) core.Command {
	job := core.JobSpec{ID: c.job(a.Name)}
	tasks := int64(0)
	specs := []spec{
		named("team", &job.Team),
		named("class", &job.Class),
		flag("urgent", &job.Urgent),
		flag("once", &job.Once),
		{"inputs", false, func(c *checker, o option) { c.list(o, &job.Inputs) }},
		count("tasks", 1, core.MaxTasks).spec(&tasks),
	}
	low := core.Size{Millicores: 1, MemoryMB: 1}
	specs = append(specs, size(&job.Size, true, low, taskSize())...)
	before := len(c.found)
	c.options("create job", a.Rest, specs...)
	c.inputs(a, &job, int(tasks), len(c.found) > before)
	return core.CreateJob{Spec: job}
}

// inputs gives the job one input for each task.
func (c *checker) inputs(a *about, s *core.JobSpec, tasks int, faulty bool) {
	given := map[string]bool{}
	for _, o := range a.Rest {
		given[o.Key] = true
	}
	switch {
	case given["inputs"] && given["tasks"]:
		c.findf(c.start, "create job takes inputs or tasks, not both")
	case !given["inputs"] && !given["tasks"]:
		c.findf(c.start, `create job needs inputs "a", "b" or tasks 2`)
	case len(s.Inputs) > core.MaxTasks:
		c.findf(c.start, "create job takes at most %d inputs, not %d", core.MaxTasks, len(s.Inputs))
	case given["tasks"] && !faulty:
		s.Inputs = make([]string, tasks)
	}
}

// taskSize is the largest size of a task or a service.
func taskSize() core.Size {
	return core.Size{Millicores: maxTaskCores, MemoryMB: maxTaskMemory, Accelerators: maxAccelerators}
}
