package core

import (
	"fmt"
	"strconv"
	"time"
)

// whyColumns are the columns of the answers to `why`.
var whyColumns = []string{"what", "reason"}

// pendingWhy awaits the row of a job that another entry schedules.
type pendingWhy struct {
	token Token
	cmd   Why
}

func (pendingWhy) pendingAnswer() {}

// handleWhyAsked answers `why`. The row of a job that is not in memory, or was not read
// recently, is read from the table.
func (e *Entry) handleWhyAsked(t Token, cmd Why) {
	id := JobID(cmd.ID)
	if cmd.Kind == "task" {
		id = ParseTask(cmd.ID).Job
	}
	job := cmd.Kind == "task" || cmd.Kind == "job"
	j := e.jobs[id]
	if !job || j != nil && e.isCurrent(j) || !e.hasConfig() || e.breaker.IsOpen(e.at.Now) {
		e.replyCommand(t, e.why(cmd))
		return
	}
	e.emit(ReadRows{Token: e.expect(pendingWhy{token: t, cmd: cmd}), Keys: []string{keyJob(id)}})
}

// handleWhyRead answers `why` from a job's row that was read.
func (e *Entry) handleWhyRead(w pendingWhy, ev RowsAnswered) {
	if ev.Fault != FaultNone {
		e.recordStoreFault("read")
		e.replyCommand(w.token, CommandResult{Outcome: CommandRefused, Text: commandRefusalText[ReasonStore], RetryAfter: e.storeRetryAfter()})
		return
	}
	for _, r := range ev.View.Rows {
		rec, err := Decode(r.Key, r.Value)
		row, ok := rec.(JobRow)
		if r.Version == 0 || err != nil || !ok {
			continue
		}
		e.replyCommand(w.token, e.whyRow(w.cmd, row))
		return
	}
	e.replyCommand(w.token, *refused("why: %s %q not found", w.cmd.Kind, w.cmd.ID))
}

// whyRow answers `why` for a job or task from the job's row alone.
func (e *Entry) whyRow(cmd Why, row JobRow) CommandResult {
	j := &jobView{row: row}
	rows := jobReasons(j)
	if cmd.Kind == "task" {
		id := ParseTask(cmd.ID)
		if id.N >= len(row.Tasks) {
			return *refused("why: no such task: job %q has %d tasks", id.Job, len(row.Tasks))
		}
		rows = e.taskReasons(j, id.N)
	}
	rows = append(rows, []string{"scheduled by", string(e.shards[ShardOf(row.Spec.ID)].owner)})
	return CommandResult{Outcome: CommandDone, Version: e.config.changes, Columns: whyColumns, Rows: rows}
}

// why answers `why` from this entry's memory.
func (e *Entry) why(cmd Why) CommandResult {
	var rows [][]string
	switch cmd.Kind {
	case "request":
		rows = e.whyRequest(RequestID(cmd.ID))
	case "task":
		rows = e.whyTask(ParseTask(cmd.ID))
	case "job":
		rows = e.whyJob(JobID(cmd.ID))
	case "worker":
		rows = e.whyWorker(WorkerID(cmd.ID))
	case "dc":
		rows = e.whyDC(DC(cmd.ID))
	}
	if rows == nil {
		return *refused("%s %q is unknown to this entry; another entry may know it", cmd.Kind, cmd.ID)
	}
	return CommandResult{Outcome: CommandDone, Version: e.config.changes, Columns: whyColumns, Rows: rows}
}

func (e *Entry) whyRequest(id RequestID) [][]string {
	if r := e.requests[id]; r != nil {
		return [][]string{
			{"state", "in progress"}, {"tries", fmt.Sprint(r.tries)}, {"workers", fmt.Sprint(r.tried)},
			{"last refusal", string(r.lastRefusal)},
		}
	}
	rec, ok := e.recent.find(id)
	if !ok {
		return nil
	}
	return rec.reasons()
}

func (e *Entry) whyTask(id TaskID) [][]string {
	j := e.jobs[id.Job]
	if j == nil || id.N >= len(j.row.Tasks) {
		return nil
	}
	return append(e.taskReasons(j, id.N), e.ageReasons(j)...)
}

// ageReasons returns the row of the answer that says how old this entry's view of the job
// is; none if it is current.
func (e *Entry) ageReasons(j *jobView) [][]string {
	if e.isCurrent(j) {
		return nil
	}
	sh := &e.shards[j.shard]
	if sh.asOf.IsZero() {
		return [][]string{{"read", "not yet; the table holds the job's present state"}}
	}
	age := e.at.Now.Sub(sh.asOf).Round(time.Millisecond)
	return [][]string{{"read", age.String() + " ago; the table holds the job's present state"}}
}

// taskReasons returns the rows of the answer to `why task`.
func (e *Entry) taskReasons(j *jobView, n int) [][]string {
	t := &j.row.Tasks[n]
	rows := [][]string{
		{"state", t.State.String()},
		{"attempt", fmt.Sprint(t.Attempt)},
		{"evictions", fmt.Sprint(t.Evictions)},
	}
	if t.Reason != "" {
		rows = append(rows, []string{"last end", t.Reason})
	}
	for _, w := range t.FailedOn {
		rows = append(rows, []string{"failed on", string(w)})
	}
	for _, w := range t.CrashedOn {
		rows = append(rows, []string{"crashed under it", string(w)})
	}
	switch t.State {
	case TaskWaiting:
		rows = append(rows, []string{"waits for", waitText(j.waitReasons[n])})
	case TaskClaimed:
		rows = append(rows, e.whyPlaced(j, n)...)
	}
	if j.isIdle(n) {
		rows = append(rows, e.explainIdle(j, n).rows()...)
	}
	return rows
}

// rows returns the rows of the answer to `why task` about a long-running task without a run.
func (r idleReasons) rows() [][]string {
	rows := [][]string{
		{"without a run for", r.idle.Round(time.Millisecond).String()},
		{"stage", r.stage},
	}
	if r.worker != "" {
		rows = append(rows, []string{"next worker", string(r.worker)})
	}
	rows = append(rows, []string{"orders without a start", strconv.Itoa(r.orders)})
	if r.refusal != "" {
		rows = append(rows, []string{"last refusal", r.refusal})
	}
	return rows
}

// waitText returns what a waiting task waits for.
func waitText(r Reason) string {
	switch r {
	case ReasonQuota:
		return "its team's quota"
	case ReasonUnplaceable:
		return "a worker that could hold it; none that is known can"
	case ReasonRoom:
		return "room on a worker"
	case ReasonRow:
		return "the end of another task of its job, whose row has no room for one more claim"
	case ReasonRejected:
		return "the next write of its job's row, which the table has rejected"
	case ReasonIsolated:
		return "a worker where it can run apart from other jobs, since workers crashed under it"
	}
	return "its turn"
}

// whyPlaced returns the worker of a claimed task and how it was chosen.
func (e *Entry) whyPlaced(j *jobView, n int) [][]string {
	rows := [][]string{{"worker", string(j.row.Tasks[n].Holder.Worker)}}
	c := j.claims[n]
	if c == nil {
		return rows
	}
	if c.urgent {
		rows = append(rows, []string{"placed by", "spread over data centres and racks"})
	} else {
		rows = append(rows, []string{"placed by", "dense fit beside what runs there"})
	}
	if c.reported {
		rows = append(rows, []string{"heard", e.at.Now.Sub(c.reportedAt).Round(time.Millisecond).String() + " ago"})
	} else {
		rows = append(rows, []string{"heard", "not yet"})
	}
	return rows
}

func (e *Entry) whyJob(id JobID) [][]string {
	j := e.jobs[id]
	if j == nil {
		return nil
	}
	return append(jobReasons(j), e.ageReasons(j)...)
}

// jobReasons returns the rows of the answer to `why job`.
func jobReasons(j *jobView) [][]string {
	cells := jobCells(j.row)
	rows := [][]string{
		{"state", cells[9]}, {"waiting", cells[5]}, {"running", cells[6]}, {"done", cells[7]}, {"other", cells[8]},
	}
	if text := j.row.failure(); text != "" {
		rows = append(rows, []string{"failed", text})
	}
	seen := map[Reason]int{}
	for _, r := range j.waitReasons {
		seen[r]++
	}
	for r, n := range seen {
		rows = append(rows, []string{fmt.Sprintf("%d wait for", n), waitText(r)})
	}
	return rows
}

func (e *Entry) whyWorker(id WorkerID) [][]string {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	state := "open"
	if reason, ok := e.usable(w); !ok {
		state = "closed: " + string(reason)
	}
	rows := [][]string{
		{"state", state},
		{"incarnation", string(w.inc)},
		{"heard", e.at.Now.Sub(w.heartbeatAt).Round(time.Millisecond).String() + " ago"},
		{"claims of this entry", fmt.Sprint(len(w.claims))},
	}
	if w.failures.isQuarantined(e.at.Now) {
		rows = append(rows, []string{"quarantined until", w.failures.until.UTC().Format(time.RFC3339)})
	}
	for _, inc := range e.fences[id].row.Fenced {
		rows = append(rows, []string{"fenced", string(inc)})
	}
	return rows
}

func (e *Entry) whyDC(n DC) [][]string {
	row, ok := e.config.dc(n)
	if !ok {
		return nil
	}
	return [][]string{{"state", describeRow(row)}, {"share used", fmt.Sprintf("%.0f%%", 100*e.rampShare(n))}}
}
