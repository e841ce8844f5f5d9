package statement

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/ebnf"
	"github.com/alecthomas/participle/v2/lexer"
)

// maxProbedTokens bounds the length of a statement for which the expected words
// are computed, to limit the cost of a long invalid text.
const maxProbedTokens = 1000

// invalidValue is a word that no value type accepts. The parser's error for it
// contains the expected value.
const invalidValue = "%"

// anyWord is not a keyword: a position that accepts it accepts any name.
const anyWord = "any-word"

// keywords are the keywords of the grammar, sorted.
var keywords = readKeywords()

// readKeywords collects the keywords from the parser's grammar.
func readKeywords() []string {
	grammar, err := ebnf.ParseString(parser.String())
	if err != nil {
		panic(fmt.Sprintf("parse the grammar's EBNF: %v", err))
	}
	var words []string
	for _, production := range grammar.Productions {
		words = appendLiterals(words, production.Expression)
	}
	slices.Sort(words)
	return slices.Compact(words)
}

// appendLiterals appends the keywords of an expression.
func appendLiterals(words []string, expression *ebnf.Expression) []string {
	for _, alternative := range expression.Alternatives {
		for _, term := range alternative.Terms {
			if term.Literal != "" {
				words = append(words, strings.Trim(term.Literal, `"`))
			}
			if term.Group != nil {
				words = appendLiterals(words, term.Group.Expr)
			}
		}
	}
	return words
}

// describeExpected describes what the parser accepts at a position of a statement. It
// tries each keyword there and keeps those that the parser accepts.
func describeExpected(tokens []lexer.Token, at lexer.Position) string {
	cut := slices.IndexFunc(tokens, func(t lexer.Token) bool { return t.Pos.Offset >= at.Offset })
	if cut < 0 || len(tokens) > maxProbedTokens {
		return ""
	}
	prefix := tokens[:cut]
	if value := expectedValue(prefix, at); value != "" {
		return value
	}
	if accepts(prefix, anyWord, tokenWord, at) {
		return "a name"
	}
	var words []string
	for _, keyword := range keywords {
		if accepts(prefix, keyword, tokenWord, at) {
			words = append(words, keyword)
		}
	}
	if accepts(prefix, "=", tokenComparison, at) {
		words = append(words, "=", "!=", "<", ">")
	}
	if accepts(prefix, "'x'", tokenText, at) {
		words = append(words, "a text in single quotes")
	}
	if probe(prefix, at) == nil {
		words = append(words, "the end of the statement")
	}
	return joinAlternatives(words)
}

// Complete returns the keywords that complete the last, unfinished word of a text,
// and the text before that word.
func Complete(text string) (before string, candidates []string) {
	start := strings.LastIndexAny(text, " \t\n;") + 1
	before, unfinished := text[:start], strings.ToLower(text[start:])
	statements, err := split(before)
	if err != nil {
		return before, nil
	}
	var prefix []lexer.Token
	if len(statements) > 0 && !strings.HasSuffix(strings.TrimSpace(before), ";") {
		last := statements[len(statements)-1]
		prefix = last[:len(last)-1]
	}
	at := lexer.Position{Offset: len(text) + 1, Line: 1, Column: 1}
	if len(prefix) > maxProbedTokens || expectedValue(prefix, at) != "" || accepts(prefix, anyWord, tokenWord, at) {
		return before, nil
	}
	for _, keyword := range keywords {
		if strings.HasPrefix(keyword, unfinished) && accepts(prefix, keyword, tokenWord, at) {
			candidates = append(candidates, keyword)
		}
	}
	return before, candidates
}

// expectedValue describes the value that the parser expects at a position, or returns
// "" if it expects no value there.
func expectedValue(prefix []lexer.Token, at lexer.Position) string {
	err := probe(append(slices.Clip(prefix), newToken(invalidValue, tokenWord, at)), at)
	var value *ValueError
	if errors.As(err, &value) && value.Found == invalidValue {
		return value.Expected
	}
	return ""
}

// accepts reports whether the parser accepts a token at a position.
func accepts(prefix []lexer.Token, text string, class lexer.TokenType, at lexer.Position) bool {
	err := probe(append(slices.Clip(prefix), newToken(text, class, at)), at)
	if err == nil {
		return true
	}
	var located participle.Error
	return errors.As(err, &located) && located.Position().Offset > at.Offset
}

// newToken returns a token at a position.
func newToken(text string, class lexer.TokenType, at lexer.Position) lexer.Token {
	return lexer.Token{Type: class, Value: text, Pos: at}
}

// probe parses tokens as a statement that ends just after a position.
func probe(tokens []lexer.Token, at lexer.Position) error {
	end := at
	end.Offset++
	end.Column++
	peeking, err := lexer.Upgrade(&tokenList{tokens: append(slices.Clip(tokens), lexer.EOFToken(end))})
	if err != nil {
		return err
	}
	_, err = parser.ParseFromLexer(peeking)
	return err
}

// joinAlternatives joins words in the form "a, b or c".
func joinAlternatives(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}
