package core

import "time"

// Command is an operator's statement in typed form.
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

// CreateTeam configures a team's quota, new or changed.
type CreateTeam struct {
	Row TeamRow
	If  VersionCond
}

// CreateJob submits a job.
type CreateJob struct {
	Spec JobSpec
}

// CancelJob cancels a job's tasks that have not ended.
type CancelJob struct {
	Job JobID
}

// Drain takes a data centre out. Work there has to be gone by By.
type Drain struct {
	DC DC
	By time.Time
	If VersionCond
}

// Return brings a data centre back.
type Return struct {
	DC DC
	If VersionCond
}

// SetPolicy sets a number of policy.
type SetPolicy struct {
	Row PolicyRow
	If  VersionCond
}

// Show lists rows of one kind: workers, tasks, jobs, services, dcs, teams,
// policy or entries.
type Show struct {
	Kind  string
	Where []Match
}

// Match requires that a column of a row compares with a value.
type Match struct {
	Column string
	Op     string // =, !=, <, >
	Value  string
}

// Why asks for the reasons of what became of a task, job, worker or request.
type Why struct {
	Kind string // task, job, worker, request, dc
	ID   string
}

// VersionCond is a condition on the version of the configuration; the zero value
// sets none.
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

// CommandOutcome says what became of a command.
type CommandOutcome string

// The outcomes of a command.
const (
	CommandDone     CommandOutcome = "done"
	CommandRefused  CommandOutcome = "refused"  // changed nothing
	CommandConflict CommandOutcome = "conflict" // changed nothing: another command came first
	CommandUnknown  CommandOutcome = "unknown"  // may have taken effect: ask again with the same id
)

// CommandResult is the answer to a command.
type CommandResult struct {
	Outcome    CommandOutcome
	Text       string
	Version    uint64 // of the configuration that the command made or saw
	Columns    []string
	Rows       [][]string
	RetryAfter time.Duration
}
