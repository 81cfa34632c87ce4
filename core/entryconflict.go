package core

import "jayloft/table"

// handleGroupConflict applies the rows that a transaction conflicted with, and queues its
// edits again.
func (e *Entry) handleGroupConflict(t *groupTxn, rows []table.Row) {
	e.count("conflict", ReasonStore)
	e.load.conflicts++
	for _, j := range t.jobs {
		j.edits = append(j.inFlight, j.edits...)
		j.inFlight = nil
	}
	e.group.putFirst(t.jobs)
	for _, r := range rows {
		e.applyConflictRow(r)
	}
}

func (e *Entry) applyConflictRow(r table.Row) {
	rec, err := Decode(r.Key, r.Value)
	switch rec.(type) {
	case TombstoneRow:
		e.applyJobRow(r)
	case JobRow:
		e.applyJobRow(r)
		if err != nil && r.Version > 0 {
			e.handleOddJobRow(r)
		}
	case FenceRow:
		e.applyFenceRow(r)
	case DCRow:
		e.config.apply([]table.Row{r}, e.config.rev, false, e.pol.on(guardConfig))
		e.refreshWorkers([]table.Row{r})
	}
}

// handleOddJobRow keeps a job's row that is none from blocking the transactions that the job
// shares with others. The entry that schedules the job knows its state, and replaces the row
// with the next edit. All other edits of the job are dropped.
func (e *Entry) handleOddJobRow(r table.Row) {
	id := jobIDOf(r.Key)
	j := e.jobs[id]
	if j == nil {
		return
	}
	if j.row.stored && !j.foreign {
		j.version = r.Version
		return
	}
	waiters := j.waiters
	j.waiters, j.edits = nil, nil
	e.forget(id, j)
	for _, jr := range waiters {
		e.answerJobRequest(jr, JobAnswer{Outcome: JobUnknown, Reason: ReasonStore})
	}
}
