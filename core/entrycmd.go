package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

// Bounds on commands.
const (
	// commandTimeout bounds the time until a command is answered.
	commandTimeout = 5 * time.Second
	// maxCommands bounds the commands in progress at one entry.
	maxCommands = 512
	// maxCommandRetries bounds how often a command is retried after a conflict.
	maxCommandRetries = 8
)

// command is an operator's command in progress, of the kind that changes something.
type command struct {
	id            string
	text          string
	cmd           Command
	tokens        []Token
	deadline      time.Time
	retryAt       time.Time // when to retry after a fault; zero while an answer is awaited
	tries         int
	first         bool   // no other entry can have a copy of it
	everSent      bool   // some transaction may have taken effect
	targetVersion uint64 // version of the changed row at the first read
	targetRead    bool   // targetVersion is set
	version       uint64 // of the configuration that the transaction makes
	reply         string // text of the result
	job           *JobRow
	refusal       *CommandResult // in the transaction, which changes nothing else; nil if there is none
}

// pendingCommand awaits a read or a transaction of a command.
type pendingCommand struct{ c *command }

// pendingShow awaits the rows of one shard for a Show.
type pendingShow struct {
	token Token
	cmd   Show
	began time.Time // when the first shard was read
	shard int
	cols  []string
	rows  [][]string // of the shards before this one
}

func (pendingCommand) pendingAnswer() {}
func (pendingShow) pendingAnswer()    {}

// handleCommandAsked accepts an operator's command, or refuses it. A repeat of a
// command in progress shares its result.
func (e *Entry) handleCommandAsked(ev CommandAsked) {
	switch cmd := ev.Command.(type) {
	case Show:
		e.show(ev.Token, cmd)
		return
	case Why:
		e.handleWhyAsked(ev.Token, cmd)
		return
	}
	if r, ok := e.refusals.find(ev); ok {
		e.replyCommand(ev.Token, r)
		return
	}
	if reason := e.checkCommand(); reason != ReasonNone {
		e.count("command", reason)
		r := CommandResult{
			Outcome: CommandRefused, Text: commandRefusalText[reason], Version: e.config.changes, RetryAfter: e.storeRetryAfter(),
		}
		if ev.First {
			e.refusals.remember(ev.ID, r, e.at.Now)
		}
		e.replyCommand(ev.Token, r)
		return
	}
	if c := e.commands[ev.ID]; c != nil {
		if c.text != ev.Text {
			e.replyCommand(ev.Token, CommandResult{Outcome: CommandRefused, Text: "the id is in use by another command"})
			return
		}
		c.tokens = append(c.tokens, ev.Token)
		c.first = c.first && ev.First
		return
	}
	c := &command{
		id: ev.ID, text: ev.Text, cmd: ev.Command, tokens: []Token{ev.Token}, deadline: e.at.Now.Add(commandTimeout), first: ev.First,
	}
	e.commands[ev.ID] = c
	e.readCommand(c)
}

// checkCommand returns the reason why the entry can't accept commands now; ReasonNone
// if it can.
func (e *Entry) checkCommand() Reason {
	switch {
	case e.leaving:
		return ReasonStopping
	case !e.hasConfig():
		return ReasonConfig
	case e.breaker.IsOpen(e.at.Now):
		return ReasonStore
	case len(e.commands) >= maxCommands:
		return ReasonOverload
	}
	return ReasonNone
}

// commandRefusalText explains refused commands to operators.
var commandRefusalText = map[Reason]string{
	ReasonStopping: "this entry is stopping; nothing was changed: send the command to another entry",
	ReasonConfig:   "this entry has not read its configuration yet; nothing was changed",
	ReasonStore:    "the platform's table does not answer; nothing was changed",
	ReasonOverload: "too many commands are in progress at this entry; nothing was changed",
}

// storeRetryAfter returns the time until the table is next tried, at least 1 s.
func (e *Entry) storeRetryAfter() time.Duration {
	return max(e.breaker.NextProbe(e.at.Now).Sub(e.at.Now), time.Second)
}

// replyCommand answers a command and logs every outcome other than done.
func (e *Entry) replyCommand(t Token, r CommandResult) {
	if r.Outcome != CommandDone {
		e.logEvent("command answered", "", "outcome", string(r.Outcome), "text", r.Text, "retry", r.RetryAfter.String())
	}
	e.emit(CommandReply{Token: t, Result: r})
}

// finishCommand sends the final result of a command to all its callers.
func (e *Entry) finishCommand(c *command, r CommandResult) {
	delete(e.commands, c.id)
	e.count("command", Reason(r.Outcome))
	for _, t := range c.tokens {
		e.replyCommand(t, r)
	}
}

// advanceCommands resumes commands after a fault and expires those that took too long.
func (e *Entry) advanceCommands() {
	for _, id := range slices.Sorted(maps.Keys(e.commands)) {
		c := e.commands[id]
		switch {
		case !e.at.Now.Before(c.deadline):
			e.expireCommand(c)
		case !c.retryAt.IsZero() && !e.at.Now.Before(c.retryAt) && !e.breaker.IsOpen(e.at.Now):
			c.retryAt = time.Time{}
			e.readCommand(c)
		}
	}
}

// expireCommand answers a command that has reached its deadline. The outcome is unknown
// if a transaction was ever sent, since it may have taken effect.
func (e *Entry) expireCommand(c *command) {
	if c.everSent {
		e.finishCommand(c, CommandResult{
			Outcome: CommandUnknown, Text: "the table's answer was lost; retry with id " + c.id, RetryAfter: e.storeRetryAfter(),
		})
		return
	}
	e.finishCommand(c, CommandResult{Outcome: CommandRefused, Text: commandRefusalText[ReasonStore], RetryAfter: e.storeRetryAfter()})
}

// readCommand reads the rows that a command depends on. A row for its id shows that it
// has already taken effect.
func (e *Entry) readCommand(c *command) {
	e.emit(ReadRows{Token: e.expect(pendingCommand{c}), Keys: []string{keyOp(c.id), KeyVersion, commandKey(c)}})
}

// commandKey returns the key of the row that a command changes.
func commandKey(c *command) string {
	switch cmd := c.cmd.(type) {
	case CreateService:
		return keyService(cmd.Row.Name)
	case CreateDC:
		return keyDC(cmd.Row.Name)
	case CreateTeam:
		return keyTeam(cmd.Row.Name)
	case CreateJob:
		return keyJob(cmd.Spec.ID)
	case CancelJob:
		return keyJob(cmd.Job)
	case Drain:
		return keyDC(cmd.DC)
	case Return:
		return keyDC(cmd.DC)
	case SetPolicy:
		return keyPolicy(cmd.Row.Name)
	}
	return KeyVersion
}

// handleCommandRead plans and sends a command's transaction from the rows read.
func (e *Entry) handleCommandRead(c *command, ev RowsAnswered) {
	if e.commands[c.id] != c {
		return
	}
	if ev.Fault != FaultNone || len(ev.View.Rows) != 3 {
		e.recordStoreFault("read")
		c.retryAt = e.breaker.NextProbe(e.at.Now)
		return
	}
	op, ver, target := ev.View.Rows[0], ev.View.Rows[1], ev.View.Rows[2]
	if op.Version > 0 && e.pol.on(guardOp) {
		e.replayCommand(c, op)
		return
	}
	if c.targetRead && c.targetVersion != target.Version && c.losesRace() {
		e.refuse(c, lostRace(ver, target))
		return
	}
	c.targetRead, c.targetVersion = true, target.Version
	p, refused := e.plan(c, ver, target)
	if refused != nil {
		e.refuse(c, *refused)
		return
	}
	if !e.allowWrite(limit.PriorityHigh) {
		c.retryAt = e.writes.NextAllowed(e.at.Now, limit.PriorityHigh)
		return
	}
	e.sendCommand(c, p, ver, target)
}

// losesRace reports whether a change of the command's row since it was first read means
// that another command came first. The row of a job also changes as its tasks run: a
// cancellation is planned again from the new row.
func (c *command) losesRace() bool {
	_, cancels := c.cmd.(CancelJob)
	return !cancels
}

// replayCommand answers a command with the result that is recorded under its id.
func (e *Entry) replayCommand(c *command, op table.Row) {
	rec, err := Decode(op.Key, op.Value)
	row, ok := rec.(OpRow)
	switch {
	case err == nil && ok && row.Refused != "" && row.RefusedStmt == c.text:
		e.refusals.recorded[c.id] = e.at.Now
		e.finishCommand(c, CommandResult{Outcome: row.Refused, Text: row.Text, Version: row.Version})
	case err == nil && ok && row.Refused == "" && row.Stmt == c.text:
		e.finishCommand(c, CommandResult{Outcome: CommandDone, Text: row.Text, Version: row.Version})
	default:
		e.finishCommand(c, CommandResult{Outcome: CommandRefused, Text: "the id was used by another command"})
	}
}

// lostRace returns the refusal of a command whose row was changed by another command
// since the first read.
func lostRace(ver, target table.Row) refusal {
	text := "another command came first: " + target.Key + " has changed"
	if rec, err := Decode(target.Key, target.Value); err == nil && target.Version > 0 {
		text = fmt.Sprintf("another command came first: %s is now %s", target.Key, describeRow(rec))
	}
	return refusal{result: CommandResult{Outcome: CommandConflict, Text: text, Version: versionOf(ver)}}
}

// versionOf returns the number in the row KeyVersion; zero if there is none yet.
func versionOf(r table.Row) uint64 {
	if r.Version == 0 {
		return 0
	}
	rec, err := Decode(r.Key, r.Value)
	if err != nil {
		return 0
	}
	row, _ := rec.(VersionRow)
	return row.N
}

// describeRow summarizes a row for an operator.
func describeRow(rec Record) string {
	switch r := rec.(type) {
	case DCRow:
		if r.Out {
			return "out, by " + r.Deadline.UTC().Format(time.RFC3339)
		}
		return "in"
	case PolicyRow:
		return fmt.Sprint(r.Value)
	case JobRow:
		if r.Cancel {
			return "cancelled"
		}
		return "accepted"
	case ServiceRow:
		return "a service with timeout " + r.Timeout.String()
	case TeamRow:
		return "a team with quota " + r.Quota.String()
	}
	return "changed"
}

// sendCommand sends a command's transaction: the changed row, the raised version if
// the row is part of the configuration, and the command's result.
func (e *Entry) sendCommand(c *command, p plan, ver, target table.Row) {
	c.reply, c.version, c.refusal = p.text, versionOf(ver), nil
	conds := []table.Cond{{Key: target.Key, Version: target.Version}}
	recs := []Record{p.rec}
	keys := []string{target.Key}
	if p.config {
		c.version++
		conds = append(conds, table.Cond{Key: KeyVersion, Version: ver.Version})
		recs = append(recs, VersionRow{N: c.version})
		keys = append(keys, KeyVersion)
	}
	if e.pol.on(guardOp) {
		conds = append(conds, table.Cond{Key: keyOp(c.id)})
	}
	recs = append(recs, OpRow{ID: c.id, Text: p.text, Version: c.version, By: e.self.ID, Stmt: c.text})
	keys = append(keys, keyOp(c.id))
	if row, ok := p.rec.(JobRow); ok {
		c.job = &row
	}
	if text := e.oversized(recs, keys); text != "" {
		e.refuse(c, *refusedForGood("%s", text))
		return
	}
	c.everSent = true
	e.commit(pendingCommand{c}, conds, recs, keys)
}

// handleCommandAnswered handles the table's answer to a command's transaction. After a
// lost answer the rows are read again: the row of the command's id shows whether it
// took effect.
func (e *Entry) handleCommandAnswered(c *command, ev CommitAnswered) {
	if e.commands[c.id] != c {
		return
	}
	switch {
	case ev.Fault == FaultNoAnswer && !e.pol.on(guardReadback):
		e.finishCommand(c, CommandResult{Outcome: CommandRefused, Text: commandRefusalText[ReasonStore]})
	case ev.Fault == FaultRejected:
		e.finishCommand(c, CommandResult{Outcome: CommandRefused, Text: "the table rejects the rows of the command; nothing was changed"})
	case ev.Fault != FaultNone:
		c.retryAt = latest(e.breaker.NextProbe(e.at.Now), e.at.Now.Add(minWake))
	case ev.Result.Committed && c.refusal != nil:
		e.refusals.recorded[c.id] = e.at.Now
		e.finishCommand(c, *c.refusal)
	case ev.Result.Committed:
		e.commandDone(c, ev.Result.Revision)
	case c.tries >= maxCommandRetries:
		e.finishCommand(c, CommandResult{Outcome: CommandConflict, Text: "gave up after repeated conflicts with other commands", RetryAfter: time.Second})
	default:
		c.tries++
		e.readCommand(c)
	}
}

// commandDone finishes a command that is committed. A new job of an owned shard is
// applied at once; other changes are picked up by an early read round.
func (e *Entry) commandDone(c *command, rev uint64) {
	e.finishCommand(c, CommandResult{Outcome: CommandDone, Text: c.reply, Version: c.version})
	e.round.next = earliest(e.round.next, e.round.startedAt.Add(e.pol.ReadInterval/10)) // apply the change soon
	if c.job == nil || !e.shards[ShardOf(c.job.Spec.ID)].owned {
		return
	}
	if b, err := Encode(*c.job); err == nil {
		e.applyJobRow(table.Row{Key: keyJob(c.job.Spec.ID), Version: rev, Value: b})
	}
}
