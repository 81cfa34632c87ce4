package config

import (
	"bytes"
	"errors"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// node is a value of a TOML document and its position.
type node struct {
	kind   unstable.Kind // Table, Array or the kind of a scalar
	offset int           // in bytes from the start of the document
	text   string        // of a scalar
	// defined is set on tables that were defined by a header, an inline value or
	// dotted keys, so that a further header for them is a finding.
	defined bool
	pairs   []pair  // of a table, in source order
	items   []*node // of an array
}

// pair is a key of a table, its position and its value.
type pair struct {
	key    string
	offset int
	value  *node
}

// get returns the value of a key, or nil if there is none.
func (n *node) get(key string) *node {
	for _, p := range n.pairs {
		if p.key == key {
			return p.value
		}
	}
	return nil
}

// tree builds the nodes of a document from the expressions of the TOML parser.
type tree struct {
	file         string
	data         []byte
	parserOffset int // offset in data at which the parser was last reset
	p            unstable.Parser
	root         *node
	current      *node // table to which the next keys belong
	findings     Findings
	// syntaxError is set after a syntax error. Missing keys aren't reported then,
	// as they may be in the part that could not be parsed.
	syntaxError bool
}

// parseTree parses a document. After a syntax error it resumes at the next table
// header, so that errors further down are reported too.
func parseTree(file string, data []byte) *tree {
	root := &node{kind: unstable.Table, defined: true}
	t := &tree{file: file, data: data[:len(data):len(data)], root: root, current: root}
	for t.parserOffset < len(t.data) {
		t.p.Reset(t.data[t.parserOffset:])
		for t.p.NextExpression() {
			t.addExpression(t.p.Expression())
		}
		err := t.p.Error()
		if err == nil {
			break
		}
		t.syntaxError = true
		at := t.reportSyntaxError(err)
		next := bytes.Index(t.data[at:], []byte("\n["))
		if next < 0 {
			break
		}
		t.parserOffset = at + next + 1
	}
	t.validate()
	return t
}

// validate runs the decoder of the TOML library, which rejects errors that the
// parser alone accepts, such as non-existent dates and illegal extensions of
// tables.
func (t *tree) validate() {
	if len(t.findings) > 0 {
		return
	}
	var doc map[string]any
	err := toml.Unmarshal(t.data, &doc)
	var de *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &de):
		line, col := de.Position()
		t.findings = append(t.findings, Finding{t.file, max(line, 1), max(col, 1), message(err)})
		t.syntaxError = true
	default:
		t.report(0, message(err))
		t.syntaxError = true
	}
}

func message(err error) string {
	return string(bytes.TrimPrefix([]byte(err.Error()), []byte("toml: ")))
}

// reportSyntaxError records a parser error as a finding and returns its offset.
func (t *tree) reportSyntaxError(err error) int {
	at := len(t.data)
	var pe *unstable.ParserError
	if errors.As(err, &pe) && cap(pe.Highlight) <= len(t.data)-t.parserOffset {
		at = len(t.data) - cap(pe.Highlight)
	}
	t.report(at, message(err))
	return at
}

func (t *tree) report(at int, text string) {
	line, col := position(t.data, at)
	t.findings = append(t.findings, Finding{t.file, line, col, text})
}

// position returns the 1-based line and column of an offset. The column counts
// characters.
func position(data []byte, at int) (line, col int) {
	before := data[:min(at, len(data))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte{'\n'}) + 1, utf8.RuneCount(before[start:]) + 1
}

// nodeOffset returns the offset of a parser node in the document, or other if the
// parser has not recorded its position.
func (t *tree) nodeOffset(n *unstable.Node, other int) int {
	if n.Raw.Length == 0 {
		return other
	}
	return t.parserOffset + int(n.Raw.Offset)
}

func (t *tree) addExpression(e *unstable.Node) {
	switch e.Kind {
	case unstable.Table:
		t.openHeader(e, false)
	case unstable.ArrayTable:
		t.openHeader(e, true)
	case unstable.KeyValue:
		t.addKeyValue(t.current, e)
	}
}

// openHeader selects the table that a header names as current, and adds it if
// it does not exist. array says that the header is that of an array of tables.
func (t *tree) openHeader(e *unstable.Node, array bool) {
	table := t.root
	it := e.Key()
	for it.Next() {
		key, at := string(it.Node().Data), t.nodeOffset(it.Node(), t.parserOffset)
		switch {
		case !it.IsLast():
			table = t.subtable(table, key, at)
		case array:
			table = t.appendTable(table, key, at)
		default:
			table = t.openTable(table, key, at)
		}
		if table == nil {
			table = &node{kind: unstable.Table, offset: at} // discards the keys below a faulty header
			break
		}
	}
	t.current = table
}

// subtable returns the table at key, and creates it if there is none. If the
// value is an array of tables, it returns the last element.
func (t *tree) subtable(table *node, key string, at int) *node {
	n := table.get(key)
	if n == nil {
		n = &node{kind: unstable.Table, offset: at}
		table.pairs = append(table.pairs, pair{key, at, n})
		return n
	}
	if n.kind == unstable.Array && len(n.items) > 0 {
		n = n.items[len(n.items)-1]
	}
	if n.kind != unstable.Table {
		t.report(at, quote(key)+" is not a table")
		return nil
	}
	return n
}

// appendTable appends a table to the array of tables at key and returns it.
func (t *tree) appendTable(table *node, key string, at int) *node {
	n := table.get(key)
	if n == nil {
		n = &node{kind: unstable.Array, offset: at}
		table.pairs = append(table.pairs, pair{key, at, n})
	}
	if n.kind != unstable.Array {
		t.report(at, quote(key)+" is not an array of tables")
		return nil
	}
	item := &node{kind: unstable.Table, offset: at, defined: true}
	n.items = append(n.items, item)
	return item
}

// openTable returns the table at key, and creates it if there is none. It reports
// a duplicate if the table has already been opened.
func (t *tree) openTable(table *node, key string, at int) *node {
	n := table.get(key)
	if n == nil {
		n = &node{kind: unstable.Table, offset: at, defined: true}
		table.pairs = append(table.pairs, pair{key, at, n})
		return n
	}
	if n.kind != unstable.Table || n.defined {
		t.reportDuplicate(key, at, n)
		return nil
	}
	n.defined, n.offset = true, at
	return n
}

func (t *tree) reportDuplicate(key string, at int, first *node) {
	line, _ := position(t.data, first.offset)
	t.report(at, quote(key)+" is set twice, first on line "+itoa(line))
}

// addKeyValue adds a key, which may be dotted, and its value to a table.
func (t *tree) addKeyValue(table *node, e *unstable.Node) {
	it := e.Key()
	for it.Next() {
		key, at := string(it.Node().Data), t.nodeOffset(it.Node(), t.parserOffset)
		if !it.IsLast() {
			if table = t.subtable(table, key, at); table == nil {
				return
			}
			table.defined = true
			continue
		}
		value := t.newNode(e.Value(), at)
		if first := table.get(key); first != nil {
			t.reportDuplicate(key, at, first)
			return
		}
		table.pairs = append(table.pairs, pair{key, at, value})
	}
}

// newNode copies a value from the parser, which reuses its nodes.
func (t *tree) newNode(v *unstable.Node, at int) *node {
	n := &node{kind: v.Kind, offset: t.nodeOffset(v, at), text: string(v.Data), defined: true}
	switch v.Kind {
	case unstable.Array:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				n.items = append(n.items, t.newNode(it.Node(), n.offset))
			}
		}
	case unstable.InlineTable:
		n.kind = unstable.Table
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				t.addKeyValue(n, it.Node())
			}
		}
	}
	return n
}
