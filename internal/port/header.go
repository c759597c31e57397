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

// IsFieldValue reports whether a text can be the value of a header field: it has no control bytes
// besides tabs.
func IsFieldValue[T string | []byte](value T) bool {
	for i := range len(value) {
		if b := value[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
