// Package wire holds what the relay speaks: HTTP/1.1 on plain sockets towards clients (the front socket),
// endpoints (route steps) and the platform (pool config and notices), and the host that carries the decision
// module between them.
package wire

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// Bounds on what a peer may send.
const (
	maxBody    = 64 << 10 // of one message
	maxAnswer  = 1 << 20  // of a list or a batch's answer
	maxLine    = 8 << 10  // also the size of every read buffer
	maxHead    = 32 << 10
	maxFields  = 100
	maxInterim = 16 // 1xx answers ahead of one
)

// What may be wrong with a peer's bytes.
var (
	errLine    = errors.New("malformed first line")
	errHeader  = errors.New("malformed header")
	errLength  = errors.New("malformed length")
	errTooLong = errors.New("body too long")
	errHead    = errors.New("header too long")
	errTwice   = errors.New("contradicting fields")
	errInterim = errors.New("too many interim answers")
)

// field is one header line.
type field struct{ name, value string }

// head is a first line, in three parts, and the header below it.
type head struct {
	line   [3]string
	fields []field
}

// get returns the value of the first field of that name.
func (h *head) get(name string) string {
	for i := range h.fields {
		if strings.EqualFold(h.fields[i].name, name) {
			return h.fields[i].value
		}
	}
	return ""
}

// only returns the value of the field of that name. Guards against a message that others read differently: fields
// that repeat must agree.
func (h *head) only(name string) (string, error) {
	value, seen := "", false
	for _, f := range h.fields {
		if !strings.EqualFold(f.name, name) {
			continue
		}
		if seen && f.value != value {
			return "", errTwice
		}
		value, seen = f.value, true
	}
	return value, nil
}

// readLine reads one line without its end.
func readLine(r *bufio.Reader, left *int) (string, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", errHead
	}
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	if *left -= len(b); *left < 0 {
		return "", errHead
	}
	b = b[:len(b)-1]
	if n := len(b); n > 0 && b[n-1] == '\r' {
		b = b[:n-1]
	}
	return string(b), nil
}

// readHead reads a first line and its header. Errors of the connection come through as they are; the head is
// returned beside an error if its first line was read whole.
func readHead(r *bufio.Reader) (*head, error) { return readHeadWith(r, func() {}) }

// readHeadWith calls begun once the first line is read.
func readHeadWith(r *bufio.Reader, begun func()) (*head, error) {
	left := maxHead
	line, err := readLine(r, &left)
	if err != nil {
		return nil, err
	}
	begun()
	h := &head{fields: make([]field, 0, 8)}
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return nil, errLine
	}
	copy(h.line[:], parts)
	for {
		line, err := readLine(r, &left)
		if err != nil {
			return h, short(err)
		}
		if line == "" {
			return h, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) || strings.ContainsAny(value, "\r\x00") {
			return h, errHeader
		}
		if len(h.fields) == maxFields {
			return h, errHead
		}
		h.fields = append(h.fields, field{name, strings.Trim(value, " \t")})
	}
}

// token tells whether s may name a header field. Guards against folded lines and smuggled blanks, which
// others may read differently.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// ReadCall reads the head of a request that stands alone, for the operators' address, and tells whether a body follows.
func ReadCall(r *bufio.Reader) (method, target string, body bool, err error) {
	h, err := readHead(r)
	if err != nil {
		return "", "", false, err
	}
	if v := h.line[2]; v != "HTTP/1.1" && v != "HTTP/1.0" {
		return "", "", false, errLine
	}
	length, chunked, err := h.framing()
	return h.line[0], h.line[1], chunked || length > 0, err
}

// framing tells how long the body is: a length, chunks, or none stated (-1).
func (h *head) framing() (length int, chunked bool, err error) {
	length = -1
	for _, f := range h.fields {
		switch {
		case strings.EqualFold(f.name, "Content-Length"):
			n, err := number(f.value)
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

// number reads a plain decimal number: no sign, no blank.
func number(s string) (int, error) {
	if s == "" || len(s) > 15 || strings.Trim(s, "0123456789") != "" {
		return 0, errLength
	}
	return strconv.Atoi(s)
}

// readBody reads a body of the stated framing, up to limit bytes.
func readBody(r *bufio.Reader, length int, chunked bool, limit int) ([]byte, error) {
	if chunked {
		return readChunks(r, limit)
	}
	if length > limit {
		return nil, errTooLong
	}
	if length <= 0 {
		return nil, nil
	}
	return readMore(nil, r, length)
}

// readMore appends n bytes to b. Guards against memory for a body of which only the length has come: it grows with
// what is there.
func readMore(b []byte, r *bufio.Reader, n int) ([]byte, error) {
	for n > 0 {
		at, part := len(b), min(n, maxLine)
		b = append(b, make([]byte, part)...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return nil, short(err)
		}
		n -= part
	}
	return b, nil
}

func readChunks(r *bufio.Reader, limit int) ([]byte, error) {
	var b []byte
	for left := maxHead; ; {
		line, err := readLine(r, &left)
		if err != nil {
			return nil, short(err)
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
			return nil, errTooLong
		}
		if b, err = readMore(b, r, int(n)); err != nil {
			return nil, err
		}
		if line, err := readLine(r, &left); err != nil || line != "" {
			return nil, errLength
		}
	}
	for left := maxHead; ; {
		if line, err := readLine(r, &left); err != nil || line == "" {
			return b, short(err)
		}
	}
}

// short is the error of a body that ends before its time.
func short(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// closes tells whether the peer closes the connection after this message.
func (h *head) closes(version string) bool {
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

// answer is a response as far as it was read.
type answer struct {
	head
	status int
	body   []byte
	keep   bool // the connection can carry another call
}

// readStatus reads the head of a response; interim ones are passed over. The answer is returned beside an
// error if its first line was read whole.
func readStatus(r *bufio.Reader) (*answer, error) { return readStatusWith(r, func() {}) }

// readStatusWith calls begun once a first line is read.
func readStatusWith(r *bufio.Reader, begun func()) (*answer, error) {
	for range maxInterim {
		h, err := readHeadWith(r, begun)
		if h == nil {
			return nil, err
		}
		n, bad := number(h.line[1])
		if bad != nil || n < 100 || n > 999 || !strings.HasPrefix(h.line[0], "HTTP/1.") {
			return nil, errLine
		}
		if n >= 200 {
			return &answer{head: *h, status: n}, err
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errInterim // Guards against interim answers without end
}

// readRest reads the body of a response whose head is read, up to limit bytes.
func (a *answer) readRest(r *bufio.Reader, limit int) error {
	length, chunked, err := a.framing()
	if err != nil {
		return err
	}
	if length < 0 && !chunked && a.status != 204 && a.status != 304 {
		// No length: the body ends with the connection.
		if a.body, err = io.ReadAll(io.LimitReader(r, int64(limit)+1)); len(a.body) > limit {
			return errTooLong
		}
		return err
	}
	if a.status != 204 && a.status != 304 {
		if a.body, err = readBody(r, length, chunked, limit); err != nil {
			return err
		}
	}
	a.keep = !a.closes(a.line[0])
	return nil
}

// appendField writes one header line. Values come from parsed lines and hold no line end.
func appendField(b []byte, name, value string) []byte {
	b = append(append(append(b, name...), ": "...), value...)
	return append(b, '\r', '\n')
}

func appendLength(b []byte, n int) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10)
	return append(b, "\r\n\r\n"...)
}
