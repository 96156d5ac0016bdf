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
func tokenize(s string) []token {
	tokens := make([]token, 0, initialTokenCapacity)
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case strings.HasPrefix(s[i:], "--"):
			end := strings.IndexByte(s[i:], '\n')
			if end < 0 {
				return tokens
			}
			i += end
		case strings.HasPrefix(s[i:], "/*"):
			i = skipBlockComment(s, i)
		case c == '\'':
			i, _ = readQuoted(s, i)
			tokens = append(tokens, token{text: "''"})
		case c == '"' || c == '`':
			end, text := readQuoted(s, i)
			i = end
			tokens = append(tokens, token{text, true})
		case isIdentifierByte(c):
			start := i
			for i < len(s) && isIdentifierByte(s[i]) {
				i++
			}
			tokens = append(tokens, token{s[start:i], !isDigit(c)})
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
func skipBlockComment(s string, i int) int {
	for depth := 0; i < len(s); {
		switch {
		case strings.HasPrefix(s[i:], "/*"):
			depth, i = depth+1, i+2
		case strings.HasPrefix(s[i:], "*/"):
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

// readQuoted returns the index after the quoted text at i, and the text. Doubled quotes are unescaped.
func readQuoted(s string, i int) (end int, text string) {
	quote := s[i]
	var b []byte
	for i++; i < len(s); i++ {
		if s[i] != quote {
			b = append(b, s[i])
			continue
		}
		if i+1 >= len(s) || s[i+1] != quote {
			return i + 1, string(b)
		}
		b = append(b, quote)
		i++
	}
	return i, string(b)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isIdentifierByte(c byte) bool {
	return c == '_' || c == '$' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
