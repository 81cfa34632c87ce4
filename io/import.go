package io

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	stdio "io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"jayloft/core"
)

// Defaults of a CSV submission.
const (
	importClass      = "import"
	importMillicores = 1000 // millicores of each task
	importMemoryMB   = 512  // MB of each task
	importTaskRows   = 100  // records in each task
)

// parseCSV parses a submission whose body is a CSV file with a header. Its
// records are split into tasks; each task's input is a CSV file with the same
// header. The fields of a JSON submission are URL parameters here.
func (f *findings) parseCSV(r *http.Request, b []byte) core.JobSpec {
	q := r.URL.Query()
	spec := core.JobSpec{
		ID:    core.JobID(q.Get("id")),
		Team:  core.Team(q.Get("team")),
		Class: q.Get("class"),
		Size: core.Size{
			Millicores: f.positiveParam(q, "millicores", importMillicores),
			MemoryMB:   f.positiveParam(q, "memory_mb", importMemoryMB),
		},
		Once: q.Get("once") == "true",
	}
	if spec.Class == "" {
		spec.Class = importClass
	}
	for name := range q {
		switch name {
		case "id", "team", "class", "millicores", "memory_mb", "rows", "once":
		default:
			f.add(name, "is not a parameter of a submission")
		}
	}
	spec.Inputs = f.splitCSV(b, int(max(f.positiveParam(q, "rows", importTaskRows), 1)))
	return spec
}

func (f *findings) positiveParam(q url.Values, name string, def int64) int64 {
	v := q.Get(name)
	if v == "" {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 1 {
		f.add(name, strconv.Quote(v)+" is not a positive integer")
	}
	return n
}

// splitCSV splits a CSV file into pieces of at most rows records, each with the
// file's header. Every record must have as many fields as the header.
func (f *findings) splitCSV(b []byte, rows int) []string {
	in := csv.NewReader(bytes.NewReader(b))
	var head, piece strings.Builder
	var pieces []string
	from, n := int64(0), 0
	for {
		_, err := in.Read()
		if errors.Is(err, stdio.EOF) {
			break
		}
		var bad *csv.ParseError
		if errors.As(err, &bad) {
			f.add(fmt.Sprintf("%d:%d", bad.Line, bad.Column), bad.Err.Error())
			if !errors.Is(bad.Err, csv.ErrFieldCount) {
				break
			}
		}
		rec := b[from:in.InputOffset()]
		from = in.InputOffset()
		if head.Len() == 0 {
			writeLine(&head, rec)
			continue
		}
		if n%rows == 0 && n > 0 {
			pieces = append(pieces, head.String()+piece.String())
			piece.Reset()
		}
		writeLine(&piece, rec)
		n++
	}
	if piece.Len() > 0 {
		pieces = append(pieces, head.String()+piece.String())
	}
	return pieces
}

// writeLine writes a record with exactly one trailing newline.
func writeLine(b *strings.Builder, rec []byte) {
	b.Write(bytes.Trim(rec, "\r\n"))
	b.WriteByte('\n')
}
