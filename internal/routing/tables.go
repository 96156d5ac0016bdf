package routing

import "strings"

// Group finds the group of tables that a statement reads or writes: the number
// after the underscore in the name of its schema, as 17 in sales_17.orders.
// Strings, comments and the schema staging do not count. No group is 0.
func Group(statement string) uint64 {
	toks := tokens(statement)
	for i := 0; i+1 < len(toks); i++ {
		if !toks[i].name || toks[i+1].text != "." || i > 0 && toks[i-1].text == "." && !qualified(toks, i) {
			continue
		}
		// In catalog.schema.table the schema is the middle name.
		if i+3 < len(toks) && toks[i+3].text == "." && toks[i+2].name {
			continue
		}
		if n, ok := schemaNumber(toks[i].text); ok {
			return n
		}
	}
	return 0
}

// qualified tells whether the name at i stands between two dots.
func qualified(toks []token, i int) bool {
	return i+2 < len(toks) && toks[i-1].text == "." && toks[i+1].text == "."
}

func schemaNumber(name string) (uint64, bool) {
	at := strings.LastIndexByte(name, '_')
	if at <= 0 || at == len(name)-1 || len(name)-at > 16 || strings.EqualFold(name[:at], "staging") {
		return 0, false
	}
	var n uint64
	for _, c := range name[at+1:] {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}

type token struct {
	text string
	name bool
}

// tokens keeps names and dots in their order, and any other sign as itself;
// strings and comments are skipped. A quoted identifier is a name.
func tokens(s string) []token {
	out := make([]token, 0, 32) // as many as most statements have
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case c == '-' && strings.HasPrefix(s[i:], "--"):
			end := strings.IndexByte(s[i:], '\n')
			if end < 0 {
				return out
			}
			i += end
		case c == '/' && strings.HasPrefix(s[i:], "/*"):
			i = blockEnd(s, i)
		case c == '\'':
			i, _ = quoted(s, i)
			out = append(out, token{text: "''"})
		case c == '"' || c == '`':
			end, text := quoted(s, i)
			i = end
			out = append(out, token{text, true})
		case wordByte(c):
			start := i
			for i < len(s) && wordByte(s[i]) {
				i++
			}
			out = append(out, token{s[start:i], !(c >= '0' && c <= '9')})
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		default:
			out = append(out, token{text: string(c)})
			i++
		}
	}
	return out
}

// blockEnd is the place after the block comment at i; such comments nest.
func blockEnd(s string, i int) int {
	for depth := 0; i < len(s); {
		switch {
		case strings.HasPrefix(s[i:], "/*"):
			depth, i = depth+1, i+2
		case strings.HasPrefix(s[i:], "*/"):
			if depth, i = depth-1, i+2; depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return i
}

// quoted is the place after the quoted text at i, and the text; a doubled mark stands for one.
func quoted(s string, i int) (int, string) {
	mark := s[i]
	var text []byte
	for i++; i < len(s); i++ {
		if s[i] != mark {
			text = append(text, s[i])
			continue
		}
		if i+1 >= len(s) || s[i+1] != mark {
			return i + 1, string(text)
		}
		text = append(text, mark)
		i++
	}
	return i, string(text)
}

func wordByte(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
