package query

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"

	"jayloft/config"
)

// MaxSourceBytes limits the length of the text that Parse and ParseAll accept.
const MaxSourceBytes = 1 << 20

// keywords introduce options and clauses. Names equal to one must be quoted.
var keywords = []string{
	"accelerators", "and", "by", "class", "cores", "idempotent", "if", "inputs",
	"memory", "once", "tasks", "team", "timeout", "urgent", "version",
	"weight", "where",
}

// The rules match any input: an unterminated string becomes a token of kind Open
// and any other unexpected character one of kind Other, which tokenize reports.
var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `(#|--)[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Open", Pattern: `"[^\n]*`},
	{Name: "Time", Pattern: `\d{4}-\d\d-\d\d[Tt][0-9:.]+([Zz]|[-+]\d\d:\d\d)?`},
	{Name: "Number", Pattern: `-?\d[\pL\pN_.]*(-[\pL\pN_.]+)*`},
	{Name: "Keyword", Pattern: `(` + strings.Join(keywords, "|") + `)\b`},
	{Name: "Word", Pattern: `[\pL_][\pL\pN_.]*(-[\pL\pN_.]+)*`},
	{Name: "Op", Pattern: `[=!<>]+`},
	{Name: "Comma", Pattern: `,`},
	{Name: "End", Pattern: `;`},
	{Name: "Other", Pattern: `(?s).`},
})

// Kinds of tokens.
var (
	symbols          = tokenRules.Symbols()
	kindSpace        = symbols["Space"]
	kindEnd          = symbols["End"]
	kindUnterminated = symbols["Open"]
	kindOther        = symbols["Other"]
	kindComment      = symbols["Comment"]
)

// tokenize returns the tokens of src without white space and comments, and a
// finding for each run of invalid characters and each unterminated string.
func tokenize(src string) ([]lexer.Token, config.Findings) {
	if len(src) > MaxSourceBytes {
		return nil, config.Findings{{Line: 1, Column: 1, Text: fmt.Sprintf("the text is longer than %d bytes", MaxSourceBytes)}}
	}
	if i := invalidUTF8(src); i >= 0 {
		line := strings.Count(src[:i], "\n") + 1
		col := utf8.RuneCountInString(src[strings.LastIndexByte(src[:i], '\n')+1:i]) + 1
		return nil, config.Findings{{Line: line, Column: col, Text: "the text is not valid UTF-8"}}
	}
	lex, err := tokenRules.LexString("", src)
	if err != nil {
		return nil, config.Findings{{Line: 1, Column: 1, Text: err.Error()}}
	}
	all, err := lexer.ConsumeAll(lex)
	if err != nil {
		return nil, config.Findings{{Line: 1, Column: 1, Text: err.Error()}}
	}
	var tokens []lexer.Token
	var found config.Findings
	after := lexer.EOF
	for _, t := range all {
		switch t.Type {
		case kindSpace, kindComment, lexer.EOF:
		case kindOther:
			if after != kindOther {
				found = append(found, findingAt(t.Pos, fmt.Sprintf("unexpected character %q", t.Value)))
			}
		case kindUnterminated:
			found = append(found, findingAt(t.Pos, "unterminated string"))
			t.Type = symbols["String"]
			t.Value += `"`
			tokens = append(tokens, t)
		default:
			tokens = append(tokens, t)
		}
		after = t.Type
	}
	return tokens, found
}

func invalidUTF8(s string) int {
	for i, c := range s {
		if c == utf8.RuneError && !strings.HasPrefix(s[i:], string(utf8.RuneError)) {
			return i
		}
	}
	return -1
}

// split groups tokens into statements. A statement ends at ';' or before a line
// that begins with a token in its first column.
func split(tokens []lexer.Token) [][]lexer.Token {
	var groups [][]lexer.Token
	var group []lexer.Token
	flush := func() {
		if len(group) > 0 {
			groups = append(groups, group)
		}
		group = nil
	}
	line := 0
	for _, t := range tokens {
		if t.Type == kindEnd {
			flush()
			continue
		}
		if t.Pos.Line > line && t.Pos.Column == 1 {
			flush()
		}
		line = t.Pos.Line
		group = append(group, t)
	}
	flush()
	return groups
}
