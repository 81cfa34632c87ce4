package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"jayloft/interf"
)

// The table bounds the bytes of each row by Policy.RowBytes, and a job is one row. A job is
// accepted only if its row has room for all tasks once they have ended and for one claim;
// more claims are made as far as there is room for them, and what the job can do without is
// left out of a row that grows. So no way of the tasks to their ends outgrows the row.

const (
	// endedTaskBytes bounds the state of a task without a claim and without what trim leaves out.
	endedTaskBytes = 56
	// claimKeyBytes is what a claim takes besides the ids of its worker and its entry.
	claimKeyBytes = 24
	// maxReasonBytes bounds TaskRow.Reason.
	maxReasonBytes = 256
	// maxJobIDBytes bounds the id of a job of a queue, which is part of the key of its row.
	maxJobIDBytes = 128
)

// trims are what a job's row does without if it is too large, in this order.
var trims = []struct {
	what  string
	share int // of Policy.RowBytes, as a divisor: larger rows are trimmed
	drop  func(r *JobRow)
}{
	{"holders of ended attempts", 4, func(r *JobRow) { r.eachUnclaimed((*TaskRow).dropHolder) }},
	{"reasons", 4, (*JobRow).dropReasons},
	{"details of ended tasks", 4, func(r *JobRow) { r.eachUnclaimed((*TaskRow).dropEnded) }},
	{"workers that tasks have failed on", 2, func(r *JobRow) { r.eachUnclaimed((*TaskRow).dropWorkers) }},
	{"checkpoints", 1, func(r *JobRow) { r.eachUnclaimed((*TaskRow).dropCheckpoint) }},
}

// encodeJob returns the encoding of a job's row. What the job can do without is left out of
// the row if it is large.
func (e *Entry) encodeJob(r *JobRow) ([]byte, error) {
	b, err := Encode(*r)
	for _, t := range trims {
		if err != nil || len(b) <= e.pol.RowBytes/t.share {
			continue
		}
		before := len(b)
		t.drop(r)
		if b, err = Encode(*r); err == nil && len(b) < before {
			e.logEvent("job row trimmed", string(r.Spec.ID), "without", t.what, "bytes", len(b), "before", before)
		}
	}
	return b, err
}

// checkRowSize returns the size of a new job's row, and why it can't be accepted if it can't:
// the row would have no room for the ends of its tasks.
func (e *Entry) checkRowSize(r *JobRow) (bytes int, text string) {
	b, err := Encode(*r)
	if err != nil {
		return 0, err.Error()
	}
	need := len(b) + len(r.Tasks)*endedTaskBytes + e.claimBytes()
	if need > e.pol.RowBytes {
		return 0, fmt.Sprintf("a job of %d tasks with a specification of %d bytes may need a row of %d bytes, the table allows %d",
			len(r.Tasks), len(b), need, e.pol.RowBytes)
	}
	return len(b), ""
}

// hasRowRoom reports whether the job's row has room for one more claim, beside what may be
// stored when those that it has end. A job without a claim always has.
func (e *Entry) hasRowRoom(j *jobView) bool {
	if len(j.claims) == 0 {
		return true
	}
	unwritten := 1
	for _, c := range j.claims {
		if !c.committed {
			unwritten++
		}
	}
	return j.rowBytes+unwritten*e.claimBytes()+(len(j.claims)+1)*endedTaskBytes <= e.pol.RowBytes
}

// withdrawClaims undoes the claims that a job's row has no room for. The other edits of the job
// are left for the next transaction. It reports whether there was any claim.
func (e *Entry) withdrawClaims(j *jobView) bool {
	var claims []edit
	kept := make([]edit, 0, len(j.inFlight)+len(j.edits))
	for _, ed := range j.inFlight {
		if _, ok := ed.(claimEdit); ok {
			claims = append(claims, ed)
		} else {
			kept = append(kept, ed)
		}
	}
	if len(claims) == 0 {
		return false
	}
	j.edits, j.inFlight = append(kept, j.edits...), nil
	e.logEvent("claims withdrawn", string(j.row.Spec.ID), "claims", len(claims), "row", j.rowBytes)
	for _, ed := range claims {
		e.undoVoidEdit(j, ed)
	}
	return true
}

// claimBytes bounds what one claim takes in a job's row.
func (e *Entry) claimBytes() int { return claimKeyBytes + e.holderBytes + len(e.self.ID) }

// noteHolder notes the size of the ids of a worker that may hold claims.
func (e *Entry) noteHolder(w *workerView) {
	e.holderBytes = max(e.holderBytes, len(w.id)+len(w.inc))
}

// eachUnclaimed calls f for each task without a claim.
func (r *JobRow) eachUnclaimed(f func(*TaskRow)) {
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.State != TaskClaimed {
			f(t)
		}
	}
}

// release clears what only the claim of an attempt needs. The worker is kept for operators.
func (t *TaskRow) release() {
	t.Holder.Inc, t.By = "", ""
	if t.State == TaskDone || t.State == TaskCancelled {
		t.dropEnded()
	}
}

func (t *TaskRow) dropHolder() { t.Holder, t.By = Holder{}, "" }

// dropEnded drops what only the next attempts of a task need.
func (t *TaskRow) dropEnded() {
	if t.State.Final() {
		t.FailedOn, t.CrashedOn, t.CrashedIn = nil, nil, nil
		if t.State != TaskUnknown {
			t.Saved = ""
		}
	}
}

// dropWorkers drops the workers that the next attempt would rather not run on.
func (t *TaskRow) dropWorkers() { t.FailedOn, t.CrashedOn = nil, nil }

func (t *TaskRow) dropCheckpoint() { t.Saved = "" }

// dropReasons drops the reasons of all ends but the one that the job has failed by.
func (r *JobRow) dropReasons() {
	failed := false
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State != TaskFailed || failed {
			t.Reason = ""
		}
		failed = failed || t.State == TaskFailed
	}
}

// clipReason bounds the reason of an end.
func clipReason(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxReasonBytes)], "")
}

// oversized returns which record exceeds the bytes of a row; empty if none does.
func (e *Entry) oversized(recs []Record, keys []string) string {
	for i, rec := range recs {
		if n := encodedBytes(rec); n > e.pol.RowBytes {
			return fmt.Sprintf("the row %s would have %d bytes, the table allows %d", keys[i], n, e.pol.RowBytes)
		}
	}
	return ""
}

// encodedBytes returns the size of a record in the table; zero if it can't be encoded, which
// whoever writes it reports.
func encodedBytes(rec Record) int {
	b, err := Encode(rec)
	if err != nil {
		return 0
	}
	return len(b)
}

// fitEntryRow leaves reports out of an entry's row that is too large, those of the shards with
// the most queues first. A shard without a report has not been counted, so that whoever asks is
// told to come back.
func (e *Entry) fitEntryRow(row EntryRow) EntryRow {
	left := len(row.Reports)
	for encodedBytes(row) > e.pol.RowBytes && len(row.Reports) > 0 {
		largest := 0
		for i, r := range row.Reports {
			if len(r.Waiting) > len(row.Reports[largest].Waiting) {
				largest = i
			}
		}
		row.Reports = slices.Delete(row.Reports, largest, largest+1)
	}
	if n := len(row.Reports); n < left {
		e.logEvent("counts left out", string(e.self.ID), "shards", left-n, "of", left)
	}
	return row
}

// fitInterferenceRow keeps the pairs that are known best if a row can't hold all of them.
func (e *Entry) fitInterferenceRow(pairs []interf.Pair) InterferenceRow {
	row := InterferenceRow{Pairs: pairs}
	n := encodedBytes(row)
	if n <= e.pol.RowBytes {
		return row
	}
	slices.SortFunc(pairs, func(a, b interf.Pair) int { return cmp.Compare(a.Variance, b.Variance) })
	for ; n > e.pol.RowBytes; n = encodedBytes(row) {
		row.Pairs = row.Pairs[:len(row.Pairs)*3/4]
	}
	return row
}
