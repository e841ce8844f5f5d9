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
// durations, percentages and addresses; the grammar tells which is meant. The
// last class takes any other character, so that a misplaced one is reported
// where it stands.
var definition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: classComment, Pattern: `--[^\n]*`},
	{Name: classSpace, Pattern: `\s+`},
	{Name: classText, Pattern: `'[^'\n]*'`},
	{Name: classWord, Pattern: `[A-Za-z0-9_*?.:/%$+\[\]]+(?:-[A-Za-z0-9_*?.:/%$+\[\]]+)*`},
	{Name: classComparison, Pattern: `!=|=|<|>`},
	{Name: classSemicolon, Pattern: `;`},
	{Name: classOther, Pattern: `.`},
})

// The token types behind the classes.
var (
	tokenComment    = definition.Symbols()[classComment]
	tokenSpace      = definition.Symbols()[classSpace]
	tokenWord       = definition.Symbols()[classWord]
	tokenSemicolon  = definition.Symbols()[classSemicolon]
	tokenComparison = definition.Symbols()[classComparison]
	tokenText       = definition.Symbols()[classText]
)

// isStarter reports whether a word starts a statement when it is the first of
// its line.
func isStarter(word string) bool {
	switch strings.ToLower(word) {
	case "create", "alter", "drop", "drain", "undrain", "rotate", "convict", "pardon", "show", "explain":
		return true
	default:
		return false
	}
}

// split cuts a text into the tokens of each statement. A statement ends at a
// semicolon, or at a line that begins with the first word of another one.
func split(text string) ([][]lexer.Token, error) {
	lexed, err := definition.LexString("", text)
	if err != nil {
		return nil, fmt.Errorf("split the text: %w", err)
	}
	tokens, err := lexer.ConsumeAll(lexed)
	if err != nil {
		return nil, fmt.Errorf("split the text: %w", err)
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
		starts := first && token.Type == tokenWord && isStarter(token.Value)
		ends := token.EOF() || token.Type == tokenSemicolon || starts
		if ends && len(current) > 0 {
			statements = append(statements, append(current, lexer.EOFToken(behind(current[len(current)-1]))))
			current = nil
		}
		if !token.EOF() && token.Type != tokenSemicolon {
			current = append(current, token)
		}
	}
	return statements, nil
}

// behind returns the place behind a token.
func behind(token lexer.Token) lexer.Position {
	place := token.Pos
	place.Offset += len(token.Value)
	place.Column += utf8.RuneCountInString(token.Value)
	return place
}

// tokenList is a lexer over tokens that were read before.
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
