package statement

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// Token classes of the language.
const (
	classComment    = "Comment"
	classSpace      = "Space"
	classText       = "Text"
	classWord       = "Word"
	classComparison = "Comparison"
	classSemicolon  = "Semicolon"
	classOther      = "Other"
)

// definition splits a text into tokens. Words are names, patterns, numbers,
// durations, percentages and addresses, which the grammar distinguishes. The last
// class matches any other character, so that an invalid one is reported by the
// parser with its position.
var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: classComment, Pattern: `--[^\n]*`},
	{Name: classSpace, Pattern: `\s+`},
	{Name: classText, Pattern: `'[^'\n]*'`},
	{Name: classWord, Pattern: `[A-Za-z0-9_*?.:/%$+\[\]]+(?:-[A-Za-z0-9_*?.:/%$+\[\]]+)*`},
	{Name: classComparison, Pattern: `!=|=|<|>`},
	{Name: classSemicolon, Pattern: `;`},
	{Name: classOther, Pattern: `.`},
})

// Token types of the classes.
var (
	tokenComment    = definition.Symbols()[classComment]
	tokenSpace      = definition.Symbols()[classSpace]
	tokenWord       = definition.Symbols()[classWord]
	tokenSemicolon  = definition.Symbols()[classSemicolon]
	tokenComparison = definition.Symbols()[classComparison]
	tokenText       = definition.Symbols()[classText]
)

// startsStatement reports whether a word starts a new statement if it is the first
// word of a line.
func startsStatement(word string) bool {
	switch strings.ToLower(word) {
	case "create", "alter", "drop", "drain", "undrain", "rotate", "convict", "pardon", "show", "explain":
		return true
	default:
		return false
	}
}

// split splits a text into the tokens of each statement, which end with an EOF token.
// A statement ends at a semicolon or before a line that begins with the first word
// of another statement.
func split(text string) ([][]lexer.Token, error) {
	lexed, err := definition.LexString("", text)
	if err != nil {
		return nil, fmt.Errorf("tokenize the statements: %w", err)
	}
	tokens, err := lexer.ConsumeAll(lexed)
	if err != nil {
		return nil, fmt.Errorf("tokenize the statements: %w", err)
	}
	var statements [][]lexer.Token
	var current []lexer.Token
	line := 0
	for _, token := range tokens {
		if token.Type == tokenSpace || token.Type == tokenComment {
			continue
		}
		first := token.Pos.Line != line
		line = token.Pos.Line
		starts := first && token.Type == tokenWord && startsStatement(token.Value)
		ends := token.EOF() || token.Type == tokenSemicolon || starts
		if ends && len(current) > 0 {
			statements = append(statements, append(current, lexer.EOFToken(endOf(current[len(current)-1]))))
			current = nil
		}
		if !token.EOF() && token.Type != tokenSemicolon {
			current = append(current, token)
		}
	}
	return statements, nil
}

// endOf returns the position just after a token.
func endOf(token lexer.Token) lexer.Position {
	end := token.Pos
	end.Offset += len(token.Value)
	end.Column += utf8.RuneCountInString(token.Value)
	return end
}

// tokenList is a lexer that returns the tokens of a list.
type tokenList struct {
	tokens []lexer.Token
	next   int
}

// Next implements lexer.Lexer.
func (l *tokenList) Next() (lexer.Token, error) {
	token := l.tokens[l.next]
	if l.next < len(l.tokens)-1 {
		l.next++
	}
	return token, nil
}
