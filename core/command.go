package core

import "time"

// Command is a parsed operator statement.
type Command interface{ command() }

// CreateService configures a new service.
type CreateService struct {
	Row ServiceRow
	If  VersionCond
}

// CreateDC configures a new data centre.
type CreateDC struct {
	Row DCRow
	If  VersionCond
}

// CreateTeam sets a team's quota and weight, also those of an existing team.
type CreateTeam struct {
	Row TeamRow
	If  VersionCond
}

// CreateJob submits a job.
type CreateJob struct {
	Spec JobSpec
}

// CancelJob cancels the tasks of a job that have not ended.
type CancelJob struct {
	Job JobID
}

// Drain takes a data centre out of service. All work must have left it by Deadline.
type Drain struct {
	DC       DC
	Deadline time.Time
	If       VersionCond
}

// Return puts a drained data centre back into service.
type Return struct {
	DC DC
	If VersionCond
}

// SetPolicy sets a named policy value.
type SetPolicy struct {
	Row PolicyRow
	If  VersionCond
}

// Show lists rows of one kind: workers, tasks, jobs, idle, services, dcs, teams,
// policy or entries.
type Show struct {
	Kind  string
	Where []Match
}

// Match is a condition that compares a column of a row with a value.
type Match struct {
	Column string
	Op     string // =, !=, <, >
	Value  string
}

// Why asks for the reasons behind the state of a task, job, worker, data centre or
// request.
type Why struct {
	Kind string // task, job, worker, request, dc
	ID   string
}

// VersionCond makes a command conditional on the version of the configuration. The
// zero value sets no condition.
type VersionCond struct {
	Set bool
	N   uint64
}

func (CreateService) command() {}
func (CreateDC) command()      {}
func (CreateTeam) command()    {}
func (CreateJob) command()     {}
func (CancelJob) command()     {}
func (Drain) command()         {}
func (Return) command()        {}
func (SetPolicy) command()     {}
func (Show) command()          {}
func (Why) command()           {}

// CommandOutcome is the outcome of a command.
type CommandOutcome string

// The outcomes of a command.
const (
	CommandDone     CommandOutcome = "done"
	CommandRefused  CommandOutcome = "refused"  // changed nothing
	CommandConflict CommandOutcome = "conflict" // changed nothing: another command was applied first
	CommandUnknown  CommandOutcome = "unknown"  // may have taken effect: retry with the same id
)

// CommandResult is the answer to a command.
type CommandResult struct {
	Outcome    CommandOutcome
	Text       string
	Version    uint64 // of the configuration after the command, or as it found it
	Columns    []string
	Rows       [][]string
	RetryAfter time.Duration
}
