package config

import (
	"bytes"
	"errors"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// node is a value of a TOML document and its place.
type node struct {
	kind unstable.Kind // Table, Array or the kind of a plain value
	at   int           // offset in the document
	text string        // of a plain value
	// opened is set on tables that have their own header or value, so that a
	// second header for them is a finding.
	opened bool
	pairs  []pair  // of a table, in order
	items  []*node // of an array
}

// pair is a key of a table and its value.
type pair struct {
	key   string
	at    int
	value *node
}

// get returns the value of a key, or nil.
func (n *node) get(key string) *node {
	for _, p := range n.pairs {
		if p.key == key {
			return p.value
		}
	}
	return nil
}

// tree builds the nodes of a document from the expressions of the parser.
type tree struct {
	file  string
	data  []byte
	base  int // offset at which the parser was last set up
	p     unstable.Parser
	root  *node
	table *node // that the next keys belong to
	found Findings
	// broken is set after a fault of syntax: keys may be missing because they
	// could not be read.
	broken bool
}

// parseTree reads a document. After a fault of syntax it goes on at the next
// header of a table, so that faults further on are found too.
func parseTree(file string, data []byte) *tree {
	root := &node{kind: unstable.Table, opened: true}
	t := &tree{file: file, data: data[:len(data):len(data)], root: root, table: root}
	for t.base < len(t.data) {
		t.p.Reset(t.data[t.base:])
		for t.p.NextExpression() {
			t.expression(t.p.Expression())
		}
		err := t.p.Error()
		if err == nil {
			break
		}
		t.broken = true
		at := t.fault(err)
		next := bytes.Index(t.data[at:], []byte("\n["))
		if next < 0 {
			break
		}
		t.base = at + next + 1
	}
	t.validate()
	return t
}

// validate asks the library's decoder for what the parser alone lets pass,
// such as dates that do not exist and tables that are extended against the
// rules.
func (t *tree) validate() {
	if len(t.found) > 0 {
		return
	}
	var doc map[string]any
	err := toml.Unmarshal(t.data, &doc)
	var de *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &de):
		line, col := de.Position()
		t.found = append(t.found, Finding{t.file, max(line, 1), max(col, 1), message(err)})
		t.broken = true
	default:
		t.find(0, message(err))
		t.broken = true
	}
}

func message(err error) string {
	return string(bytes.TrimPrefix([]byte(err.Error()), []byte("toml: ")))
}

// fault records an error of the parser and returns its offset.
func (t *tree) fault(err error) int {
	at := len(t.data)
	var pe *unstable.ParserError
	if errors.As(err, &pe) && cap(pe.Highlight) <= len(t.data)-t.base {
		at = len(t.data) - cap(pe.Highlight)
	}
	t.find(at, message(err))
	return at
}

func (t *tree) find(at int, text string) {
	line, col := position(t.data, at)
	t.found = append(t.found, Finding{t.file, line, col, text})
}

// position returns the line and column of an offset, both from 1.
func position(data []byte, at int) (line, col int) {
	before := data[:min(at, len(data))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte{'\n'}) + 1, utf8.RuneCount(before[start:]) + 1
}

// offset returns the place of a node of the parser, or other if the parser
// does not keep one.
func (t *tree) offset(n *unstable.Node, other int) int {
	if n.Raw.Length == 0 {
		return other
	}
	return t.base + int(n.Raw.Offset)
}

func (t *tree) expression(e *unstable.Node) {
	switch e.Kind {
	case unstable.Table:
		t.header(e, false)
	case unstable.ArrayTable:
		t.header(e, true)
	case unstable.KeyValue:
		t.keyValue(t.table, e)
	}
}

// header opens the table that a header names.
func (t *tree) header(e *unstable.Node, array bool) {
	table := t.root
	it := e.Key()
	for it.Next() {
		key, at := string(it.Node().Data), t.offset(it.Node(), t.base)
		switch {
		case !it.IsLast():
			table = t.descend(table, key, at)
		case array:
			table = t.element(table, key, at)
		default:
			table = t.open(table, key, at)
		}
		if table == nil {
			table = &node{kind: unstable.Table, at: at} // keys go nowhere
			break
		}
	}
	t.table = table
}

// descend returns the table below key, made if need be. Of an array of tables
// it is the last one.
func (t *tree) descend(table *node, key string, at int) *node {
	n := table.get(key)
	if n == nil {
		n = &node{kind: unstable.Table, at: at}
		table.pairs = append(table.pairs, pair{key, at, n})
		return n
	}
	if n.kind == unstable.Array && len(n.items) > 0 {
		n = n.items[len(n.items)-1]
	}
	if n.kind != unstable.Table {
		t.find(at, quote(key)+" is no table")
		return nil
	}
	return n
}

// element adds a table to the array of tables below key.
func (t *tree) element(table *node, key string, at int) *node {
	n := table.get(key)
	if n == nil {
		n = &node{kind: unstable.Array, at: at}
		table.pairs = append(table.pairs, pair{key, at, n})
	}
	if n.kind != unstable.Array {
		t.find(at, quote(key)+" is no array of tables")
		return nil
	}
	item := &node{kind: unstable.Table, at: at, opened: true}
	n.items = append(n.items, item)
	return item
}

// open returns the table below key, which must not have a header yet.
func (t *tree) open(table *node, key string, at int) *node {
	n := table.get(key)
	if n == nil {
		n = &node{kind: unstable.Table, at: at, opened: true}
		table.pairs = append(table.pairs, pair{key, at, n})
		return n
	}
	if n.kind != unstable.Table || n.opened {
		t.twice(key, at, n)
		return nil
	}
	n.opened, n.at = true, at
	return n
}

func (t *tree) twice(key string, at int, first *node) {
	line, _ := position(t.data, first.at)
	t.find(at, quote(key)+" is set twice, first on line "+itoa(line))
}

// keyValue adds a key and its value to a table.
func (t *tree) keyValue(table *node, e *unstable.Node) {
	it := e.Key()
	for it.Next() {
		key, at := string(it.Node().Data), t.offset(it.Node(), t.base)
		if !it.IsLast() {
			if table = t.descend(table, key, at); table == nil {
				return
			}
			table.opened = true
			continue
		}
		value := t.value(e.Value(), at)
		if first := table.get(key); first != nil {
			t.twice(key, at, first)
			return
		}
		table.pairs = append(table.pairs, pair{key, at, value})
	}
}

// value copies a value from the parser, which reuses its nodes.
func (t *tree) value(v *unstable.Node, at int) *node {
	n := &node{kind: v.Kind, at: t.offset(v, at), text: string(v.Data), opened: true}
	switch v.Kind {
	case unstable.Array:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				n.items = append(n.items, t.value(it.Node(), n.at))
			}
		}
	case unstable.InlineTable:
		n.kind = unstable.Table
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				t.keyValue(n, it.Node())
			}
		}
	}
	return n
}
