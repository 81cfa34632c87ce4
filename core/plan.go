package core

import (
	"fmt"

	"jayloft/table"
)

// plan is the change that a command will write.
type plan struct {
	rec    Record
	text   string
	config bool // rec is part of the configuration
}

// plan derives a command's change from freshly read rows, or refuses the command.
func (e *Entry) plan(c *command, ver, target table.Row) (plan, *refusal) {
	var old Record
	if target.Version > 0 {
		rec, err := Decode(target.Key, target.Value)
		if err != nil {
			return plan{}, refusedNow("the stored row can't be decoded: %v", err)
		}
		old = rec
	}
	switch cmd := c.cmd.(type) {
	case CreateJob:
		return e.planJob(c, cmd, old)
	case CancelJob:
		return e.planCancel(cmd, old)
	}
	return planConfig(e, c, versionOf(ver), old)
}

func planConfig(e *Entry, c *command, n uint64, old Record) (plan, *refusal) {
	if v := versionCond(c.cmd); v.Set && v.N != n {
		text := fmt.Sprintf("the configuration is at version %d, not %d", n, v.N)
		// The version never falls.
		return plan{}, &refusal{result: CommandResult{Outcome: CommandConflict, Version: n, Text: text}, lasting: n > v.N}
	}
	switch cmd := c.cmd.(type) {
	case CreateService:
		if old != nil {
			return plan{}, refusedForGood("service %q already exists", cmd.Row.Name)
		}
		return plan{rec: cmd.Row, text: fmt.Sprintf("service %q created", cmd.Row.Name), config: true}, nil
	case CreateDC:
		if old != nil {
			return plan{}, refusedForGood("data centre %q already exists", cmd.Row.Name)
		}
		return plan{rec: cmd.Row, text: fmt.Sprintf("data centre %q created", cmd.Row.Name), config: true}, nil
	case CreateTeam:
		return plan{rec: cmd.Row, text: fmt.Sprintf("team %q set", cmd.Row.Name), config: true}, nil
	case SetPolicy:
		if _, ok := PolicyNames[cmd.Row.Name]; !ok {
			return plan{}, refusedForGood("unknown policy %q", cmd.Row.Name)
		}
		return plan{rec: cmd.Row, text: fmt.Sprintf("%s set to %g", cmd.Row.Name, cmd.Row.Value), config: true}, nil
	case Drain:
		return e.planDrain(cmd, old)
	case Return:
		return e.planReturn(cmd, old)
	}
	return plan{}, refusedForGood("%T does not change anything", c.cmd)
}

func (e *Entry) planDrain(cmd Drain, old Record) (plan, *refusal) {
	row, ok := old.(DCRow)
	if !ok {
		return plan{}, refusedNow("unknown data centre %q", cmd.DC)
	}
	row.Out, row.Deadline, row.Since = true, cmd.Deadline, e.at.Now
	return plan{rec: row, text: fmt.Sprintf("data centre %q is %s", cmd.DC, describeRow(row)), config: true}, nil
}

func (e *Entry) planReturn(cmd Return, old Record) (plan, *refusal) {
	row, ok := old.(DCRow)
	if !ok {
		return plan{}, refusedNow("unknown data centre %q", cmd.DC)
	}
	if !row.Out {
		return plan{}, refusedNow("data centre %q is not drained", cmd.DC)
	}
	return plan{
		rec: DCRow{Name: row.Name, Since: e.at.Now}, text: fmt.Sprintf("data centre %q is in", cmd.DC), config: true,
	}, nil
}

// planJob validates a job before it is accepted.
func (e *Entry) planJob(c *command, cmd CreateJob, old Record) (plan, *refusal) {
	spec := cmd.Spec
	switch {
	case old != nil:
		return plan{}, refusedForGood("job %q already exists", spec.ID)
	case spec.ID == "":
		return plan{}, refusedForGood("the job has no id")
	case len(spec.Steps) > 0 && spec.CheckSteps() != "":
		return plan{}, refusedForGood("%s", spec.CheckSteps())
	case len(spec.Steps) > 0:
		if e.fitsNoWorker(&spec) {
			e.count("command", ReasonUnplaceable)
			return plan{}, refusedNow("a step of the job has tasks that fit no worker")
		}
	case len(spec.Inputs) == 0 || len(spec.Inputs) > MaxTasks:
		return plan{}, refusedForGood("a job has 1 to %d tasks, not %d", MaxTasks, len(spec.Inputs))
	case spec.Size.Millicores <= 0 || spec.Size.MemoryMB < 0 || spec.Size.Accelerators < 0:
		return plan{}, refusedForGood("a task needs some CPU and no negative size: %v", spec.Size)
	case e.exceedsAllWorkers(spec.Size):
		e.count("command", ReasonUnplaceable)
		return plan{}, refusedNow("a task of %v fits no worker", spec.Size)
	}
	row := JobRow{Spec: spec, Tasks: make([]TaskRow, spec.Len()), Accepted: e.at.Now, Op: c.id}
	if _, text := e.checkRowSize(&row); text != "" {
		return plan{}, refusedForGood("%s", text)
	}
	return plan{rec: row, text: fmt.Sprintf("job %q accepted, %d tasks", spec.ID, spec.Len())}, nil
}

func (e *Entry) planCancel(cmd CancelJob, old Record) (plan, *refusal) {
	row, ok := old.(JobRow)
	if !ok {
		return plan{}, refusedNow("unknown job %q", cmd.Job)
	}
	row = row.copyTasks()
	row.Cancel = true
	n := 0
	for i := range row.Tasks {
		if row.Tasks[i].State == TaskWaiting {
			row.Tasks[i].State = TaskCancelled
			n++
		}
	}
	row.Ended = e.endedAt(row)
	return plan{rec: row, text: fmt.Sprintf("job %q cancelled, %d tasks were waiting", cmd.Job, n)}, nil
}

// versionCond returns a command's condition on the version of the configuration.
func versionCond(cmd Command) VersionCond {
	switch cmd := cmd.(type) {
	case CreateService:
		return cmd.If
	case CreateDC:
		return cmd.If
	case CreateTeam:
		return cmd.If
	case Drain:
		return cmd.If
	case Return:
		return cmd.If
	case SetPolicy:
		return cmd.If
	}
	return VersionCond{}
}

// refused returns the result of a question or command that is refused.
func refused(format string, args ...any) *CommandResult {
	return &CommandResult{Outcome: CommandRefused, Text: fmt.Sprintf(format, args...)}
}

// refusedNow returns the refusal of a command whose other copies may still be carried out.
func refusedNow(format string, args ...any) *refusal {
	return &refusal{result: *refused(format, args...)}
}

// refusedForGood returns the refusal of a command whose other copies are refused too.
func refusedForGood(format string, args ...any) *refusal {
	return &refusal{result: *refused(format, args...), lasting: true}
}
