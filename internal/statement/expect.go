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
// are found out, so that a long faulty text costs little.
const maxProbedTokens = 1000

// impossible is a word that stands for no value, so that the refusal of it tells
// which value is expected.
const impossible = "%"

// anyWord is no fixed word; a place that takes it takes any word.
const anyWord = "any-word"

// keywords are the fixed words of the grammar.
var keywords = readKeywords()

// readKeywords collects the fixed words from the parser's own grammar.
func readKeywords() []string {
	grammar, err := ebnf.ParseString(parser.String())
	if err != nil {
		panic(fmt.Sprintf("the grammar does not print as EBNF: %v", err))
	}
	var words []string
	for _, production := range grammar.Productions {
		words = appendLiterals(words, production.Expression)
	}
	slices.Sort(words)
	return slices.Compact(words)
}

// appendLiterals appends the fixed words of an expression.
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

// expected tells what could stand at a place of a statement: it tries each
// fixed word there and keeps those that the parser takes.
func expected(tokens []lexer.Token, place lexer.Position) string {
	cut := slices.IndexFunc(tokens, func(t lexer.Token) bool { return t.Pos.Offset >= place.Offset })
	if cut < 0 || len(tokens) > maxProbedTokens {
		return ""
	}
	prefix := tokens[:cut]
	if value := expectedValue(prefix, place); value != "" {
		return value
	}
	if accepts(prefix, anyWord, tokenWord, place) {
		return "a name"
	}
	var words []string
	for _, keyword := range keywords {
		if accepts(prefix, keyword, tokenWord, place) {
			words = append(words, keyword)
		}
	}
	if accepts(prefix, "=", tokenComparison, place) {
		words = append(words, "=", "!=", "<", ">")
	}
	if accepts(prefix, "'x'", tokenText, place) {
		words = append(words, "a text in single quotes")
	}
	if probe(prefix, place) == nil {
		words = append(words, "the end of the statement")
	}
	return list(words)
}

// Complete returns the fixed words that may follow a text which is being typed,
// those that begin with its last, unfinished word; and what stands before that
// word.
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
	place := lexer.Position{Offset: len(text) + 1, Line: 1, Column: 1}
	if len(prefix) > maxProbedTokens || expectedValue(prefix, place) != "" || accepts(prefix, anyWord, tokenWord, place) {
		return before, nil
	}
	for _, keyword := range keywords {
		if strings.HasPrefix(keyword, unfinished) && accepts(prefix, keyword, tokenWord, place) {
			candidates = append(candidates, keyword)
		}
	}
	return before, candidates
}

// expectedValue returns which value is expected at a place, or "" if none is.
func expectedValue(prefix []lexer.Token, place lexer.Position) string {
	err := probe(append(slices.Clip(prefix), word(impossible, tokenWord, place)), place)
	var value *ValueError
	if errors.As(err, &value) && value.Found == impossible {
		return value.Expected
	}
	return ""
}

// accepts reports whether the parser takes a word at a place.
func accepts(prefix []lexer.Token, text string, class lexer.TokenType, place lexer.Position) bool {
	err := probe(append(slices.Clip(prefix), word(text, class, place)), place)
	if err == nil {
		return true
	}
	var located participle.Error
	return errors.As(err, &located) && located.Position().Offset > place.Offset
}

// word returns a token at a place.
func word(text string, class lexer.TokenType, place lexer.Position) lexer.Token {
	return lexer.Token{Type: class, Value: text, Pos: place}
}

// probe parses tokens as a statement that ends behind a place.
func probe(tokens []lexer.Token, place lexer.Position) error {
	end := place
	end.Offset++
	end.Column++
	peeking, err := lexer.Upgrade(&tokenList{tokens: append(slices.Clip(tokens), lexer.EOFToken(end))})
	if err != nil {
		return err
	}
	_, err = parser.ParseFromLexer(peeking)
	return err
}

// list joins words as "a, b or c".
func list(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}
