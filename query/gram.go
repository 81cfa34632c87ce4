package query

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"jayloft/config"
)

// The grammar takes more than the language has, so that the checks that
// follow can report every fault of a statement and not only the first.

// statement is one statement by its verb.
type statement struct {
	Show   *show  `parser:"  'show' @@"`
	Why    *about `parser:"| 'why' @@"`
	Create *about `parser:"| 'create' @@"`
	Cancel *about `parser:"| 'cancel' @@"`
	Drain  *about `parser:"| 'drain' @@"`
	Return *about `parser:"| 'return' @@"`
	Set    *about `parser:"| 'set' @@"`
}

var verbs = []string{"show", "why", "create", "cancel", "drain", "return", "set"}

// about names a thing by its kind and name, with options. Of set, the kind is
// the number of policy and the name its value.
type about struct {
	Kind *word    `parser:"@@?"`
	Name *value   `parser:"@@?"`
	Rest []option `parser:"@@*"`
}

// show lists rows of a kind.
type show struct {
	Kind  *word    `parser:"@@?"`
	Conds []cond   `parser:"('where' @@ ('and' @@)*)?"`
	Rest  []option `parser:"@@*"`
}

// cond is a condition of where: a column, a comparison and a value, if its
// parts are three and in this order.
type cond struct {
	Pos   lexer.Position
	Parts []part `parser:"@@*"`
}

type part struct {
	Pos   lexer.Position
	Op    string `parser:"(?! 'and') (  @Op"`
	Quote string `parser:"            | @String"`
	Word  string `parser:"            | @(Word | Keyword)"`
	Text  string `parser:"            | @(Number | Time)"`
	Comma string `parser:"            | @Comma )"`
}

// option is a key and its values, of which it may have none.
type option struct {
	Pos    lexer.Position
	Key    string  `parser:"(  @(Keyword | Word)"`
	Stray  string  `parser:" | @(Op | Comma | String | Number | Time) )"`
	Values []value `parser:"(@@ ((?! Word) @@)*)?"`
}

// word is the kind of a thing. Some kinds are keywords too.
type word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | 'tasks' | 'team')"`
}

// value is a name, a string, or a number with or without a unit. A comma
// parts it from the value before it.
type value struct {
	Pos   lexer.Position
	Comma bool   `parser:"@Comma?"`
	Text  string `parser:"(  @(Word | Number | Time)"`
	Quote string `parser:" | @String )"`
}

var grammar = participle.MustBuild[statement](participle.Lexer(lexing), participle.UseLookahead(lookahead))

// lookahead is enough tokens to tell a comma before a value from a stray one.
const lookahead = 2

// feed is a lexer over tokens that were read before.
type feed struct {
	tokens []lexer.Token
	end    lexer.Position
}

// Next returns the next token.
func (f *feed) Next() (lexer.Token, error) {
	if len(f.tokens) == 0 {
		return lexer.EOFToken(f.end), nil
	}
	t := f.tokens[0]
	f.tokens = f.tokens[1:]
	return t, nil
}

// parseTokens reads the tokens of one statement by the grammar.
func parseTokens(tokens []lexer.Token) (*statement, error) {
	last := tokens[len(tokens)-1]
	end := last.Pos
	end.Advance(last.Value)
	lex, err := lexer.Upgrade(&feed{tokens: tokens, end: end})
	if err != nil {
		return nil, err
	}
	return grammar.ParseFromLexer(lex)
}

// syntax turns an error of the parser into a finding.
func syntax(err error, tokens []lexer.Token) config.Finding {
	var ut *participle.UnexpectedTokenError
	var pe participle.Error
	switch {
	case errors.As(err, &ut) && ut.Unexpected.EOF():
		return at(ut.Unexpected.Pos, "the statement ends too early")
	case errors.As(err, &ut):
		return at(ut.Unexpected.Pos, "unexpected "+strconv.Quote(ut.Unexpected.Value))
	case errors.As(err, &pe):
		return at(pe.Position(), pe.Message())
	}
	return at(tokens[0].Pos, err.Error())
}

func verbList() string { return strings.Join(verbs, ", ") }
