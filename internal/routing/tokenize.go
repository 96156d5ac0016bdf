package routing

import "strings"

// token is a lexical token of a statement.
type token struct {
	text         string
	isIdentifier bool
}

// initialTokenCapacity is the number of tokens that suffices for most statements.
const initialTokenCapacity = 32

// tokenize splits a statement into identifiers and single characters, in order. Comments are skipped,
// a string is one token without its content, and a quoted identifier is an identifier.
func tokenize(statement string) []token {
	tokens := make([]token, 0, initialTokenCapacity)
	for i := 0; i < len(statement); {
		c := statement[i]
		switch {
		case strings.HasPrefix(statement[i:], "--"):
			commentLength := strings.IndexByte(statement[i:], '\n')
			if commentLength < 0 {
				return tokens
			}
			i += commentLength
		case strings.HasPrefix(statement[i:], "/*"):
			i = skipBlockComment(statement, i)
		case c == '\'':
			i = quotedEnd(statement, i)
			tokens = append(tokens, token{text: "''"})
		case c == '"' || c == '`':
			endIndex := quotedEnd(statement, i)
			tokens = append(tokens, token{unquote(statement[i:endIndex]), true})
			i = endIndex
		case isIdentifierByte(c):
			start := i
			for i < len(statement) && isIdentifierByte(statement[i]) {
				i++
			}
			tokens = append(tokens, token{statement[start:i], !isDigit(c)})
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		default:
			tokens = append(tokens, token{text: string(c)})
			i++
		}
	}
	return tokens
}

// skipBlockComment returns the index after the block comment at i. Block comments nest.
func skipBlockComment(statement string, i int) int {
	for depth := 0; i < len(statement); {
		switch {
		case strings.HasPrefix(statement[i:], "/*"):
			depth, i = depth+1, i+2
		case strings.HasPrefix(statement[i:], "*/"):
			depth, i = depth-1, i+2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return i
}

// quotedEnd returns the index after the quoted text at i, in which a doubled quote stands for one.
func quotedEnd(statement string, i int) int {
	quote := statement[i]
	for i++; i < len(statement); i++ {
		if statement[i] != quote {
			continue
		}
		if i+1 >= len(statement) || statement[i+1] != quote {
			return i + 1
		}
		i++
	}
	return len(statement)
}

// unquote returns a quoted text without its quotes. The closing one may be missing at the end of a statement.
func unquote(quoted string) string {
	quote := quoted[:1]
	text := quoted[1:]
	if withoutEnd, isClosed := strings.CutSuffix(text, quote); isClosed {
		text = withoutEnd
	}
	return strings.ReplaceAll(text, quote+quote, quote)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isIdentifierByte(c byte) bool {
	return c == '_' || c == '$' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
