// Package wire implements the relay's network protocols: the HTTP/1.1 server for clients, attempts
// at endpoints, discovery of endpoints and outcome notifications with the platform, and gossip
// between relays. Its Host runs the policy engine between them.
package wire

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// Limits on what a peer may send, in bytes unless noted.
const (
	maxBody             = 64 << 10 // of a message
	maxListBody         = 4 << 20  // of an answer of discovery; 3,200 indented endpoints take over 1 MiB
	readBufferSize      = 8 << 10  // also the longest line of a header
	maxHeaderBytes      = 32 << 10
	maxFields           = 100 // header lines
	maxInterimResponses = 16  // 1xx responses before the final one
)

// Protocol errors in what a peer sends.
var (
	errFirstLine         = errors.New("malformed first line")
	errHeader            = errors.New("malformed header")
	errLength            = errors.New("malformed length")
	errBodyTooLong       = errors.New("body too long")
	errHeaderTooLong     = errors.New("header too long")
	errConflictingFields = errors.New("contradicting fields")
	errTooManyInterim    = errors.New("too many interim responses")
)

// field is one header line.
type field struct{ name, value string }

// head is a first line, split into three parts, and the header fields below it.
type head struct {
	firstLine [3]string
	fields    []field
}

// get returns the value of the first field of that name, or "".
func (h *head) get(name string) string {
	for i := range h.fields {
		if strings.EqualFold(h.fields[i].name, name) {
			return h.fields[i].value
		}
	}
	return ""
}

// getConsistent returns the value of the field of that name, or "". Repeated fields must agree,
// since other programs may read another one of them.
func (h *head) getConsistent(name string) (string, error) {
	value, found := "", false
	for _, f := range h.fields {
		if !strings.EqualFold(f.name, name) {
			continue
		}
		if found && f.value != value {
			return "", errConflictingFields
		}
		value, found = f.value, true
	}
	return value, nil
}

// readLine reads one line and strips its line end. left is the number of header bytes still
// allowed.
func readLine(r *bufio.Reader, left *int) (string, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", errHeaderTooLong
	}
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	if *left -= len(b); *left < 0 {
		return "", errHeaderTooLong
	}
	b = b[:len(b)-1]
	if n := len(b); n > 0 && b[n-1] == '\r' {
		b = b[:n-1]
	}
	return string(b), nil
}

// readHead reads a first line and its header. Connection errors are returned unwrapped. If the
// first line was read, the head is returned beside an error.
func readHead(r *bufio.Reader) (*head, error) { return readHeadWith(r, func() {}) }

// readHeadWith is readHead with a callback after the first line.
func readHeadWith(r *bufio.Reader, onFirstLine func()) (*head, error) {
	left := maxHeaderBytes
	line, err := readLine(r, &left)
	if err != nil {
		return nil, err
	}
	onFirstLine()
	h := &head{fields: make([]field, 0, 8)}
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return nil, errFirstLine
	}
	copy(h.firstLine[:], parts)
	for {
		line, err := readLine(r, &left)
		if err != nil {
			return h, unexpectedEOF(err)
		}
		if line == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || strings.ContainsAny(value, "\r\x00") {
			return h, errHeader
		}
		if len(h.fields) == maxFields {
			return h, errHeaderTooLong
		}
		h.fields = append(h.fields, field{name, strings.Trim(value, " \t")})
	}
}

// isToken reports whether s is a valid field name. It rejects folded lines and blanks before the
// colon, which are used for request smuggling.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// ReadRequestHead reads the head of a single request to the admin address and reports whether a
// body follows.
func ReadRequestHead(r *bufio.Reader) (method, target string, body bool, err error) {
	h, err := readHead(r)
	if err != nil {
		return "", "", false, err
	}
	if v := h.firstLine[2]; v != "HTTP/1.1" && v != "HTTP/1.0" {
		return "", "", false, errFirstLine
	}
	length, chunked, err := h.framing()
	return h.firstLine[0], h.firstLine[1], chunked || length > 0, err
}

// framing returns the framing of the body: its length, or -1 if none is stated, and whether it is
// chunked.
func (h *head) framing() (length int, chunked bool, err error) {
	length = -1
	for _, f := range h.fields {
		switch {
		case strings.EqualFold(f.name, "Content-Length"):
			n, err := parseNumber(f.value)
			if err != nil || length >= 0 && n != length {
				return 0, false, errLength
			}
			length = n
		case strings.EqualFold(f.name, "Transfer-Encoding"):
			if chunked || !strings.EqualFold(f.value, "chunked") {
				return 0, false, errLength
			}
			chunked = true
		}
	}
	if chunked && length >= 0 {
		return 0, false, errLength
	}
	return length, chunked, nil
}

// parseNumber parses an unsigned decimal number of at most 15 digits, without blanks.
func parseNumber(s string) (int, error) {
	if s == "" || len(s) > 15 || strings.Trim(s, "0123456789") != "" {
		return 0, errLength
	}
	return strconv.Atoi(s)
}

// readBody reads a body of the given framing, up to limit bytes.
func readBody(r *bufio.Reader, length int, chunked bool, limit int) ([]byte, error) {
	if chunked {
		return readChunks(r, limit)
	}
	if length > limit {
		return nil, errBodyTooLong
	}
	if length <= 0 {
		return nil, nil
	}
	return readAppend(nil, r, length)
}

// readAppend appends n bytes to b. Memory grows with what is received, not with the stated length.
func readAppend(b []byte, r *bufio.Reader, n int) ([]byte, error) {
	for n > 0 {
		start, chunk := len(b), min(n, readBufferSize)
		b = append(b, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, b[start:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		n -= chunk
	}
	return b, nil
}

// readChunks reads a chunked body of up to limit bytes, and discards its trailer.
func readChunks(r *bufio.Reader, limit int) ([]byte, error) {
	var b []byte
	for left := maxHeaderBytes; ; {
		line, err := readLine(r, &left)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, errLength
		}
		if n == 0 {
			break
		}
		if len(b)+int(n) > limit {
			return nil, errBodyTooLong
		}
		if b, err = readAppend(b, r, int(n)); err != nil {
			return nil, err
		}
		if line, err := readLine(r, &left); err != nil || line != "" {
			return nil, errLength
		}
	}
	for left := maxHeaderBytes; ; {
		if line, err := readLine(r, &left); err != nil || line == "" {
			return b, unexpectedEOF(err)
		}
	}
}

// unexpectedEOF replaces io.EOF for a message that is cut short.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// closesConnection reports whether the peer closes the connection after this message.
func (h *head) closesConnection(version string) bool {
	for _, f := range h.fields {
		if strings.EqualFold(f.name, "Connection") {
			if strings.Contains(strings.ToLower(f.value), "close") {
				return true
			}
			return version == "HTTP/1.0" && !strings.Contains(strings.ToLower(f.value), "keep-alive")
		}
	}
	return version == "HTTP/1.0"
}

// response is a response, as far as it was read.
type response struct {
	head
	status   int
	body     []byte
	reusable bool // the connection can be reused
}

// readResponseHead reads the head of a response and skips interim ones. If the first line was read,
// the response is returned beside an error.
func readResponseHead(r *bufio.Reader) (*response, error) { return readResponseHeadWith(r, func() {}) }

// readResponseHeadWith is readResponseHead with a callback after a first line.
func readResponseHeadWith(r *bufio.Reader, onFirstLine func()) (*response, error) {
	for range maxInterimResponses {
		h, err := readHeadWith(r, onFirstLine)
		if h == nil {
			return nil, err
		}
		n, bad := parseNumber(h.firstLine[1])
		if bad != nil || n < 100 || n > 999 || !strings.HasPrefix(h.firstLine[0], "HTTP/1.") {
			return nil, errFirstLine
		}
		if n >= 200 {
			return &response{head: *h, status: n}, err
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errTooManyInterim
}

// readRemaining reads the body of a response whose head was read, up to limit bytes.
func (a *response) readRemaining(r *bufio.Reader, limit int) error {
	length, chunked, err := a.framing()
	if err != nil {
		return err
	}
	if length < 0 && !chunked && a.status != 204 && a.status != 304 {
		// Without a length the body extends to the end of the connection.
		if a.body, err = io.ReadAll(io.LimitReader(r, int64(limit)+1)); len(a.body) > limit {
			return errBodyTooLong
		}
		return err
	}
	if a.status != 204 && a.status != 304 {
		if a.body, err = readBody(r, length, chunked, limit); err != nil {
			return err
		}
	}
	a.reusable = !a.closesConnection(a.firstLine[0])
	return nil
}

// appendField appends one header line. Values come from parsed lines and contain no line end.
func appendField(b []byte, name, value string) []byte {
	b = append(append(append(b, name...), ": "...), value...)
	return append(b, '\r', '\n')
}

// appendLength appends the Content-Length line of a body of n bytes and ends the header.
func appendLength(b []byte, n int) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10)
	return append(b, "\r\n\r\n"...)
}
