package httpwiretest

import (
	"maps"
	"slices"
)

// StatusLine is the start of an answer, up to its status line and its line break. Status is 0 if it is malformed.
type StatusLine struct {
	Raw    string
	Status int
}

// StatusLines returns sound and malformed status lines, also of informational answers before the answer.
func StatusLines() (l []StatusLine) {
	const ok = "\r\n\r\nHTTP/1.1 200 OK"
	lines := map[string]int{
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 200  a b": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 299 OK": 299,
		"HTTP/1.1 599 x": 599, "HTTP/1.1 100" + ok: 200, "HTTP/1.1 199 " + ok: 200, "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 500": 500,
		"HTTP/1.1 000": 0, "HTTP/1.1 000 ": 0, "HTTP/1.1 000 OK": 0, "HTTP/1.0 000 OK": 0, "HTTP/1.1 001 OK": 0, "HTTP/1.1 099 OK": 0,
		"HTTP/1.1 600 OK": 0, "HTTP/1.1 999": 0, "HTTP/1.1 1000 OK": 0, "HTTP/1.1 2000": 0, "HTTP/1.1 0200 OK": 0, "HTTP/1.1 20 OK": 0,
		"HTTP/1.1 2 00": 0, "HTTP/1.1": 0, "HTTP/1.1 ": 0, "HTTP/1.1  ": 0, "HTTP/1.1 OK": 0, "HTTP/1.1 abc OK": 0, "HTTP/1.1 2x0 OK": 0,
		"HTTP/1.1 +20 OK": 0, "HTTP/1.1 -20 OK": 0, "HTTP/1.1 200OK": 0, "HTTP/1.1 200\tOK": 0, "HTTP/1.1\t200 OK": 0,
		"HTTP/1.1  200 OK": 0, "HTTP/1.1 \t200 OK": 0, " HTTP/1.1 200 OK": 0, "HTTP/1.2 200 OK": 0, "HTTP/2 200 OK": 0,
		"http/1.1 200 OK": 0, "200 OK": 0, "HTTP/1.1 200 O\rK": 0, "HTTP/1.1 200\r": 0,
		"HTTP/1.1 000" + ok: 0, "HTTP/1.1 099 x" + ok: 0, "HTTP/1.1 10 x" + ok: 0, "HTTP/1.1 1000 x" + ok: 0, "HTTP/1.1  100 x" + ok: 0,
		"HTTP/1.1 100\r\n\r\nHTTP/1.1 000 OK": 0, "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 600 OK": 0,
	}
	for _, line := range slices.Sorted(maps.Keys(lines)) {
		l = append(l, StatusLine{line + "\r\n", lines[line]})
	}
	return l
}
