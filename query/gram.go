package query

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"jayloft/config"
)

// The grammar accepts more than the language, so that the checks after parsing
// can report every error of a statement and not only the first one.

// statement is a parsed statement. Only the field of its verb is set.
type statement struct {
	Show   *showStmt   `parser:"  'show' @@"`
	Why    *objectStmt `parser:"| 'why' @@"`
	Create *objectStmt `parser:"| 'create' @@"`
	Cancel *objectStmt `parser:"| 'cancel' @@"`
	Drain  *objectStmt `parser:"| 'drain' @@"`
	Return *objectStmt `parser:"| 'return' @@"`
	Set    *objectStmt `parser:"| 'set' @@"`
}

var verbs = []string{"show", "why", "create", "cancel", "drain", "return", "set"}

// objectStmt is a statement on an object with a kind and a name. In a set
// statement, Kind is the policy parameter and Name its value.
type objectStmt struct {
	Kind *word    `parser:"@@?"`
	Name *value   `parser:"@@?"`
	Rest []option `parser:"@@*"`
}

// showStmt lists the rows of a kind that satisfy all conditions.
type showStmt struct {
	Kind  *word       `parser:"@@?"`
	Conds []condition `parser:"('where' @@ ('and' @@)*)?"`
	Rest  []option    `parser:"@@*"`
}

// condition is a condition in a where clause. It is valid if its parts are a
// column, a comparison operator and a value, in this order.
type condition struct {
	Pos   lexer.Position
	Parts []condToken `parser:"@@*"`
}

type condToken struct {
	Pos   lexer.Position
	Op    string `parser:"(?! 'and') (  @Op"`
	Quote string `parser:"            | @String"`
	Word  string `parser:"            | @(Word | Keyword)"`
	Text  string `parser:"            | @(Number | Time)"`
	Comma string `parser:"            | @Comma )"`
}

// option is a key with zero or more values. Stray is set instead of Key if the
// token can't be a key.
type option struct {
	Pos    lexer.Position
	Key    string  `parser:"(  @(Keyword | Word)"`
	Stray  string  `parser:" | @(Op | Comma | String | Number | Time) )"`
	Values []value `parser:"(@@ ((?! Word) @@)*)?"`
}

// word is the kind of an object. Some kinds are also keywords.
type word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | 'tasks' | 'team')"`
}

// value is a name, a string, a time, or a number with or without a unit. Comma is
// set if a comma precedes it.
type value struct {
	Pos   lexer.Position
	Comma bool   `parser:"@Comma?"`
	Text  string `parser:"(  @(Word | Number | Time)"`
	Quote string `parser:" | @String )"`
}

var grammar = participle.MustBuild[statement](participle.Lexer(tokenRules), participle.UseLookahead(lookahead))

// lookahead is the number of tokens needed to distinguish a comma before a value
// from a stray one.
const lookahead = 2

// tokenSource is a lexer.Lexer over tokens that have already been read.
type tokenSource struct {
	tokens []lexer.Token
	end    lexer.Position
}

// Next returns the next token.
func (f *tokenSource) Next() (lexer.Token, error) {
	if len(f.tokens) == 0 {
		return lexer.EOFToken(f.end), nil
	}
	t := f.tokens[0]
	f.tokens = f.tokens[1:]
	return t, nil
}

// parseTokens parses the tokens of one statement according to the grammar.
func parseTokens(tokens []lexer.Token) (*statement, error) {
	last := tokens[len(tokens)-1]
	end := last.Pos
	end.Advance(last.Value)
	lex, err := lexer.Upgrade(&tokenSource{tokens: tokens, end: end})
	if err != nil {
		return nil, err
	}
	return grammar.ParseFromLexer(lex)
}

// syntaxFinding converts a parser error to a finding.
func syntaxFinding(err error, tokens []lexer.Token) config.Finding {
	var ut *participle.UnexpectedTokenError
	var pe participle.Error
	switch {
	case errors.As(err, &ut) && ut.Unexpected.EOF():
		return findingAt(ut.Unexpected.Pos, "unexpected end of the statement")
	case errors.As(err, &ut):
		return findingAt(ut.Unexpected.Pos, "unexpected "+strconv.Quote(ut.Unexpected.Value))
	case errors.As(err, &pe):
		return findingAt(pe.Position(), pe.Message())
	}
	return findingAt(tokens[0].Pos, err.Error())
}

func verbList() string { return strings.Join(verbs, ", ") }
