package core

import (
	"maps"
	"slices"
	"time"

	"jayloft/limit"
	"jayloft/table"
)

const (
	// refusalRetention is how long an entry remembers the refusal of a command that was
	// sent to it alone, in case the network delivers it twice.
	refusalRetention = time.Minute
	// maxRemovedRefusals bounds the recorded refusals that one transaction removes.
	maxRemovedRefusals = 100
)

// refusal is the result of a command that can't be carried out.
type refusal struct {
	result CommandResult
	// lasting says that each copy of the command is refused, even one whose transaction is
	// in flight.
	lasting bool
}

// refusalLog holds an entry's refusals of commands.
type refusalLog struct {
	first    answerLog[CommandResult] // of commands that were sent to this entry alone, by id
	recorded map[string]time.Time     // when those in the table were last used, by id
}

// remember stores the refusal of a command that was sent to this entry alone.
func (l *refusalLog) remember(id string, r CommandResult, now time.Time) {
	l.first.put(id, r, now, now.Add(refusalRetention))
}

// find returns the refusal of an earlier copy of a command that was sent to this entry
// alone.
func (l *refusalLog) find(ev CommandAsked) (CommandResult, bool) {
	if !ev.First {
		return CommandResult{}, false
	}
	r, ok := l.first.answers[ev.ID]
	return r, ok
}

// refuse answers a command that can't be carried out, once no copy of it can be any more.
// If other entries may have copies, the refusal is first recorded under the command's id.
func (e *Entry) refuse(c *command, r refusal) {
	switch {
	case r.lasting:
		e.finishCommand(c, r.result)
	case c.first && !c.everSent:
		e.refusals.remember(c.id, r.result, e.at.Now)
		e.finishCommand(c, r.result)
	default:
		e.recordRefusal(c, r.result)
	}
}

// recordRefusal sends a transaction that records a refusal. It fails if a copy of the
// command has taken effect or was refused meanwhile.
func (e *Entry) recordRefusal(c *command, r CommandResult) {
	if !e.allowWrite(limit.PriorityHigh) {
		c.retryAt = e.writes.NextAllowed(e.at.Now, limit.PriorityHigh)
		return
	}
	c.refusal, c.everSent = &r, true
	key := keyOp(c.id)
	row := OpRow{ID: c.id, Text: r.Text, Version: r.Version, By: e.self.ID, Refused: r.Outcome, RefusedStmt: c.text}
	e.commit(pendingCommand{c}, []table.Cond{{Key: key}}, []Record{row}, []string{key})
}

// pendingRefusals awaits the removal of recorded refusals.
type pendingRefusals struct{ ids []string }

func (pendingRefusals) pendingAnswer() {}

// removeRefusals deletes the rows of recorded refusals whose retention period is over.
func (e *Entry) removeRefusals() {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(e.refusals.recorded)) {
		if e.at.Now.Sub(e.refusals.recorded[id]) > e.pol.Retention && len(ids) < min(maxRemovedRefusals, e.pol.TxnEntries) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 || !e.allowWrite(limit.PriorityLow) {
		return
	}
	var txn table.Txn
	for _, id := range ids {
		txn.Writes = append(txn.Writes, table.Write{Key: keyOp(id), Delete: true})
	}
	e.emit(Commit{Token: e.expect(pendingRefusals{ids}), Txn: txn})
}

// handleRefusalsRemoved forgets the refusals whose rows were removed. The others are
// removed in a later transaction.
func (e *Entry) handleRefusalsRemoved(ids []string, ev CommitAnswered) {
	if !ev.Result.Committed {
		return
	}
	for _, id := range ids {
		delete(e.refusals.recorded, id)
	}
}
