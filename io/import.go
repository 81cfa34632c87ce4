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

// Defaults of a submission by CSV.
const (
	importClass = "import"
	importCores = 1000 // millicores of each task
	importMem   = 512  // MB of each task
	importRows  = 100  // records in each task
)

// csvSpec reads a submission whose body is a CSV file with a header. Its
// records are split into tasks; each task's input is a CSV file too, with the
// same header. What JSON has in fields is in parameters of the URL.
func (f *findings) csvSpec(r *http.Request, b []byte) core.JobSpec {
	q := r.URL.Query()
	spec := core.JobSpec{
		ID:    core.JobID(q.Get("id")),
		Team:  core.Team(q.Get("team")),
		Class: q.Get("class"),
		Size: core.Size{
			Millicores: f.number(q, "millicores", importCores),
			MemoryMB:   f.number(q, "memory_mb", importMem),
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
			f.add(name, "is no parameter of a submission")
		}
	}
	spec.Inputs = f.split(b, int(max(f.number(q, "rows", importRows), 1)))
	return spec
}

func (f *findings) number(q url.Values, name string, def int64) int64 {
	v := q.Get(name)
	if v == "" {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 1 {
		f.add(name, strconv.Quote(v)+" is no positive number")
	}
	return n
}

// split cuts the records of a CSV file into pieces of rows records, each with
// the file's header. Every record has to have as many fields as the header.
func (f *findings) split(b []byte, rows int) []string {
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

// writeLine writes a record with exactly one end of line.
func writeLine(b *strings.Builder, rec []byte) {
	b.Write(bytes.Trim(rec, "\r\n"))
	b.WriteByte('\n')
}
