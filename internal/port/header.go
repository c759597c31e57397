package port

// IsStatus reports whether a response can have a status.
func IsStatus(status int) bool { return status >= 100 && status <= 599 }

// IsFieldName reports whether a text can be the name of a header field: a token.
func IsFieldName[T string | []byte](name T) bool {
	for i := range len(name) {
		switch b := name[i]; {
		case b|0x20 >= 'a' && b|0x20 <= 'z', b >= '0' && b <= '9':
		case b == '!', b >= '#' && b <= '\'', b == '*', b == '+', b == '-', b == '.', b == '^', b == '_', b == '`', b == '|', b == '~':
		default:
			return false
		}
	}
	return len(name) > 0
}

// IsFieldValue reports whether a text can be the value of a header field, or the reason of a status
// line. It has no control bytes besides tabs, and no status line: a response that breaks off within
// its header may be followed by another one.
func IsFieldValue[T string | []byte](value T) bool {
	for i := range len(value) {
		if b := value[i]; b < ' ' && b != '\t' || b == 0x7f || isStatusLine(value[i:]) {
			return false
		}
	}
	return true
}

// statusLine is the form of the beginning of a status line, with 0 for a digit.
const statusLine = "HTTP/0.0 000"

// isStatusLine reports whether a text begins with a status line.
func isStatusLine[T string | []byte](text T) bool {
	if len(text) < len(statusLine) {
		return false
	}
	for i := range len(statusLine) {
		isDigit := text[i] >= '0' && text[i] <= '9'
		if statusLine[i] == '0' && !isDigit || statusLine[i] != '0' && text[i] != statusLine[i] {
			return false
		}
	}
	return true
}
