package core

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// show answers a query. Jobs and tasks are read from the table; everything else is
// this entry's own view, and is marked if that may be incomplete or old.
func (e *Entry) show(t Token, cmd Show) {
	if !e.hasConfig() {
		e.replyCommand(t, CommandResult{Outcome: CommandRefused, Text: commandRefusalText[ReasonConfig], RetryAfter: e.storeRetryAfter()})
		return
	}
	if cmd.Kind == "tasks" || cmd.Kind == "jobs" {
		if reason := e.checkCommand(); reason == ReasonStore || reason == ReasonConfig {
			e.replyCommand(t, CommandResult{Outcome: CommandRefused, Text: commandRefusalText[reason], RetryAfter: e.storeRetryAfter()})
			return
		}
		e.showShard(pendingShow{token: t, cmd: cmd, began: e.at.Now})
		return
	}
	cols, rows := e.list(cmd.Kind)
	if cols == nil {
		e.replyCommand(t, *refused("show: unknown kind %q", cmd.Kind))
		return
	}
	res := e.filter(cmd, cols, rows)
	if res.Outcome == CommandDone {
		res.Text = e.caveat(cmd.Kind)
	}
	e.replyCommand(t, res)
}

// caveat returns what the list of a kind may lack; empty if nothing.
func (e *Entry) caveat(kind string) string {
	text := e.viewCaveat()
	if kind != "idle" {
		return text
	}
	if text == "" {
		return e.shardCaveat()
	}
	return e.shardCaveat() + "; " + text
}

// shardCaveat returns of how many shards this entry knows the tasks, so that nobody takes its
// list for one of the whole site.
func (e *Entry) shardCaveat() string {
	owned, unread := e.ownedShards(), 0
	for s := range e.shards {
		if sh := &e.shards[s]; sh.owned && !sh.loaded {
			unread++
		}
	}
	text := fmt.Sprintf("this entry schedules %d of %d shards", owned, Shards)
	if unread > 0 {
		text += fmt.Sprintf(", of which it has not read %d yet", unread)
	}
	if owned < Shards {
		text += "; the other homes know of the rest"
	}
	return text
}

// viewCaveat returns in what way this entry's own view may be incomplete or old; empty if
// it is neither.
func (e *Entry) viewCaveat() string {
	age := e.at.Now.Sub(e.round.asOf)
	switch {
	case !e.hasHeardAgents():
		return "this entry has just started: it may not have heard all workers yet"
	case age > e.pol.MaxCountAge():
		return fmt.Sprintf("this entry has not read the table completely for %s", age.Round(time.Millisecond))
	}
	return ""
}

// handleShowAnswered adds the jobs of one shard to the answer and reads the next shard.
func (e *Entry) handleShowAnswered(w pendingShow, ev ChangesAnswered) {
	if ev.Fault != FaultNone {
		e.recordStoreFault("read")
		e.replyCommand(w.token, CommandResult{Outcome: CommandRefused, Text: commandRefusalText[ReasonStore], RetryAfter: e.storeRetryAfter()})
		return
	}
	var jobs []JobRow
	for _, r := range ev.View.Rows {
		if rec, err := Decode(r.Key, r.Value); err == nil && !r.Deleted {
			if j, ok := rec.(JobRow); ok {
				jobs = append(jobs, j)
			}
		}
	}
	var rows [][]string
	w.cols, rows = listJobs(w.cmd.Kind, jobs)
	w.rows = append(w.rows, rows...)
	w.shard++
	if took := e.at.Now.Sub(w.began); took > e.pol.Visible {
		text := fmt.Sprintf("reading all jobs takes longer than %s: the list would lack those that came meanwhile", e.pol.Visible)
		e.replyCommand(w.token, CommandResult{Outcome: CommandRefused, Text: text, RetryAfter: e.storeRetryAfter()})
		return
	}
	if w.shard < Shards {
		e.showShard(w)
		return
	}
	e.replyCommand(w.token, e.filter(w.cmd, w.cols, w.rows))
}

// showShard reads the jobs of one shard. A single read of all shards could exceed the
// size of one answer.
func (e *Entry) showShard(w pendingShow) {
	e.emit(ReadChanges{Token: e.expect(w), Prefix: shardPrefix(w.shard)})
}

// filter returns the rows that match all conditions of the query, sorted.
func (e *Entry) filter(cmd Show, cols []string, rows [][]string) CommandResult {
	for _, m := range cmd.Where {
		i := indexOf(cols, m.Column)
		if i < 0 {
			return *refused("show %s: no column %q; the columns are %s", cmd.Kind, m.Column, strings.Join(cols, ", "))
		}
		keep := rows[:0]
		for _, r := range rows {
			if compare(r[i], m.Op, m.Value) {
				keep = append(keep, r)
			}
		}
		rows = keep
	}
	slices.SortFunc(rows, slices.Compare)
	return CommandResult{Outcome: CommandDone, Version: e.config.changes, Columns: cols, Rows: rows}
}

// indexOf returns the index of a column, or -1.
func indexOf(cols []string, c string) int {
	for i, s := range cols {
		if s == c {
			return i
		}
	}
	return -1
}

// compare evaluates cell op value.
func compare(cell, op, value string) bool {
	c := compareCells(cell, value)
	switch op {
	case "=":
		return c == 0
	case "!=":
		return c != 0
	case "<":
		return c < 0
	case ">":
		return c > 0
	case "<=":
		return c <= 0
	case ">=":
		return c >= 0
	}
	return false
}

// compareCells compares two cells as numbers or as times if both are, else as text.
func compareCells(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX == nil && errY == nil {
		return cmp.Compare(x, y)
	}
	s, errS := time.ParseDuration(a)
	t, errT := time.ParseDuration(b)
	if errS == nil && errT == nil {
		return cmp.Compare(s, t)
	}
	return strings.Compare(a, b)
}

// list returns the columns and rows of one kind, or nil columns for an unknown kind.
func (e *Entry) list(kind string) ([]string, [][]string) {
	switch kind {
	case "workers":
		return e.listWorkers()
	case "idle":
		return e.listIdle()
	case "services":
		return e.listServices()
	case "dcs":
		return e.listDCs()
	case "teams":
		return e.listTeams()
	case "policy":
		return e.listPolicy()
	case "entries":
		return e.listEntries()
	}
	return nil, nil
}

func (e *Entry) listWorkers() ([]string, [][]string) {
	var rows [][]string
	for _, id := range e.workerIDs() {
		w := e.workers[id]
		state := "open"
		if reason, ok := e.usable(w); !ok {
			state = "closed: " + string(reason)
		} else if w.failures.isQuarantined(e.at.Now) {
			state = "quarantined"
		}
		b := &w.heartbeat
		rows = append(rows, []string{
			string(id), string(b.DC), string(b.Rack), state,
			num(b.Capacity.Millicores), num(b.Committed.Millicores), num(b.Used.Millicores),
			num(b.Capacity.MemoryMB), num(b.Committed.MemoryMB), strconv.Itoa(len(b.Running)),
			e.at.Now.Sub(w.heartbeatAt).Round(time.Millisecond).String(),
		})
	}
	return []string{
		"worker", "dc", "rack", "state", "millicores", "committed", "used", "memory", "memorycommitted", "tasks", "heard",
	}, rows
}

// listIdle returns the long-running tasks without a run that this entry schedules.
func (e *Entry) listIdle() ([]string, [][]string) {
	var rows [][]string
	for _, id := range e.idleTasks() {
		j := e.jobs[id.Job]
		spec := &j.row.Spec
		r := e.explainIdle(j, id.N)
		rows = append(rows, []string{
			id.String(), string(id.Job), string(spec.Team), spec.Class, r.idle.Round(time.Millisecond).String(), r.stage,
			string(r.reason), string(r.worker), strconv.Itoa(r.orders), r.refusal,
		})
	}
	return []string{"task", "job", "team", "class", "idle", "stage", "reason", "worker", "orders", "refusal"}, rows
}

func num(n int64) string { return strconv.FormatInt(n, 10) }

func (e *Entry) listServices() ([]string, [][]string) {
	var rows [][]string
	for _, rec := range e.config.list(PrefixConfig + "service/") {
		r, ok := rec.(ServiceRow)
		if !ok {
			continue
		}
		endpoints, p50, p99 := 0, time.Duration(0), time.Duration(0)
		if sv := e.services[r.Name]; sv != nil {
			endpoints, p50, p99 = sv.set.Len(), sv.set.Quantile(0.5), sv.set.Quantile(0.99)
		}
		rows = append(rows, []string{
			r.Name, string(r.Team), strconv.FormatBool(r.Idempotent), r.Timeout.String(),
			strconv.Itoa(endpoints), p50.String(), p99.String(),
		})
	}
	return []string{"service", "team", "idempotent", "timeout", "endpoints", "p50", "p99"}, rows
}

func (e *Entry) listDCs() ([]string, [][]string) {
	count := map[DC]int{}
	for _, w := range e.workers {
		count[w.heartbeat.DC]++
	}
	var rows [][]string
	for _, rec := range e.config.list(PrefixConfig + "dc/") {
		if r, ok := rec.(DCRow); ok {
			rows = append(rows, []string{string(r.Name), describeRow(r), strconv.Itoa(count[r.Name])})
		}
	}
	return []string{"dc", "state", "workers"}, rows
}

func (e *Entry) listTeams() ([]string, [][]string) {
	var rows [][]string
	for _, rec := range e.config.list(PrefixConfig + "team/") {
		if r, ok := rec.(TeamRow); ok {
			held := e.quota.Reserved(string(r.Name))
			rows = append(rows, []string{
				string(r.Name), num(r.Quota.Millicores), num(r.Quota.MemoryMB), num(held.Millicores), strconv.Itoa(max(r.Weight, 1)),
			})
		}
	}
	return []string{"team", "millicores", "memory", "held", "weight"}, rows
}

func (e *Entry) listPolicy() ([]string, [][]string) {
	var rows [][]string
	for name, unit := range PolicyNames {
		value := "default"
		if v, ok := e.config.policy(name); ok {
			value = strconv.FormatFloat(v, 'g', -1, 64)
		}
		rows = append(rows, []string{name, value, unit})
	}
	return []string{"policy", "value", "unit"}, rows
}

func (e *Entry) listEntries() ([]string, [][]string) {
	live := map[EntryID]bool{}
	ids := e.liveEntries()
	for _, id := range ids {
		live[id] = true
	}
	shards := map[EntryID]int{}
	for s := range e.shards {
		shards[e.shards[s].owner]++
	}
	var rows [][]string
	for id, p := range e.peers {
		rows = append(rows, []string{string(id), p.row.Addr, strconv.FormatBool(live[id]), strconv.FormatBool(e.homes.has(id)), strconv.Itoa(shards[id])})
	}
	return []string{"entry", "addr", "live", "home", "shards"}, rows
}

// listJobs returns one row per job, or per task of the jobs, depending on kind.
func listJobs(kind string, jobs []JobRow) ([]string, [][]string) {
	var rows [][]string
	if kind == "jobs" {
		for _, j := range jobs {
			rows = append(rows, jobCells(j))
		}
		return []string{"job", "team", "class", "urgent", "tasks", "waiting", "running", "done", "other", "state"}, rows
	}
	for _, j := range jobs {
		for n, t := range j.Tasks {
			rows = append(rows, []string{
				TaskID{Job: j.Spec.ID, N: n}.String(), string(j.Spec.ID), string(j.Spec.Team), j.Spec.Class, t.State.String(),
				strconv.Itoa(int(t.Attempt)), string(t.Holder.Worker), strconv.Itoa(int(t.Evictions)), t.Reason, t.Output,
			})
		}
	}
	return []string{"task", "job", "team", "class", "state", "attempt", "worker", "evictions", "reason", "output"}, rows
}

// jobCells returns the row of a job in the answer to `show jobs`.
func jobCells(j JobRow) []string {
	var waiting, running, done, other int
	for _, t := range j.Tasks {
		switch t.State {
		case TaskWaiting:
			waiting++
		case TaskClaimed:
			running++
		case TaskDone:
			done++
		default:
			other++
		}
	}
	state := "open"
	if waiting+running == 0 {
		state = "ended"
	}
	if j.Cancel {
		state = "cancelled"
	}
	return []string{
		string(j.Spec.ID), string(j.Spec.Team), j.Spec.Class, strconv.FormatBool(j.Spec.Urgent),
		fmt.Sprint(len(j.Tasks)), fmt.Sprint(waiting), fmt.Sprint(running), fmt.Sprint(done), fmt.Sprint(other), state,
	}
}
