package cli

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"
)

// Bounds of a request to an admin address.
const (
	requestTimeout = 3 * time.Second // to connect, and again for the request and its reply
	maxAnswerBytes = 8 << 20         // of the reply
)

// get makes a GET request to an admin address.
func get(addr, path string) ([]byte, error) { return request(addr, "GET", path) }

// request makes one HTTP request to an admin address and returns the body of a 200 reply. It does
// not use net/http, since this program is also the relay and would carry it in memory for these
// commands alone.
func request(addr, method, path string) ([]byte, error) {
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		return nil, usageError{fmt.Errorf("%q is not the host:port of an admin address", addr)}
	}
	sock, err := net.DialTimeout("tcp", addr, requestTimeout)
	if err != nil {
		return nil, err
	}
	defer sock.Close()
	sock.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := fmt.Fprintf(sock, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", method, path,
		addr); err != nil {
		return nil, err
	}
	r := bufio.NewReader(io.LimitReader(sock, maxAnswerBytes))
	status, size := 0, -1
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, fmt.Errorf("%s%s: incomplete reply: %w", addr, path, err)
		}
		line = strings.TrimRight(line, "\r\n")
		if first {
			if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &status); err != nil {
				return nil, fmt.Errorf("%s%s: %.80q is not an HTTP reply", addr, path, line)
			}
		} else if line == "" {
			break
		} else if key, value, _ := strings.Cut(line, ":"); strings.EqualFold(key, "Content-Length") {
			if size, err = strconv.Atoi(strings.TrimSpace(value)); err != nil || size < 0 || size > maxAnswerBytes {
				return nil, fmt.Errorf("%s%s: invalid Content-Length %q", addr, path, value)
			}
		}
	}
	if size < 0 {
		return nil, fmt.Errorf("%s%s: the reply has no Content-Length", addr, path)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("%s%s: incomplete reply: %w", addr, path, err)
	}
	if status != 200 {
		return nil, fmt.Errorf("%s%s: status %d: %s", addr, path, status, b)
	}
	return b, nil
}

// viewCommand returns a command that prints one of the views of a relay's admin address.
func viewCommand(name, short, long string, table func(out io.Writer, doc gjson.Result) error) *cobra.Command {
	cmd := &cobra.Command{Use: name + " ADDR", Short: short, Args: exactArg("ADDR"), Long: long}
	cmd.Flags().Bool("json", false, "print the reply unchanged")
	cmd.RunE = printView("/"+name, table)
	return cmd
}

// printView requests a view and prints it, as a table or unchanged.
func printView(path string, table func(out io.Writer, doc gjson.Result) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		b, err := get(args[0], path)
		if err != nil {
			return err
		}
		if !gjson.ValidBytes(b) {
			return fmt.Errorf("%s: the reply is not JSON", args[0])
		}
		if asJSON, _ := cmd.Flags().GetBool("json"); asJSON {
			_, err := cmd.OutOrStdout().Write(b)
			return err
		}
		return table(cmd.OutOrStdout(), gjson.ParseBytes(b))
	}
}

// membersCommand prints a relay's view of the fleet.
func membersCommand() *cobra.Command {
	return viewCommand("members", "Show which relays of the fleet a relay considers alive",
		"Ask a relay at its admin address for its view of the fleet.", membersTable)
}

// membersTable prints the reply of GET /members.
func membersTable(out io.Writer, doc gjson.Result) error {
	fmt.Fprintf(out, "relay %d, version %d: %d relays may be calling", doc.Get("self").Int(),
		doc.Get("version").Int(), doc.Get("sharing").Int())
	if doc.Get("deaf").Bool() {
		fmt.Fprint(out, "; IT RECEIVES NOTHING FROM ANY RELAY, and may itself be cut off")
	}
	if doc.Get("rival").Bool() {
		fmt.Fprint(out, "; ANOTHER PROCESS USES ITS NUMBER")
	}
	for _, z := range doc.Get("zones_away").Array() {
		fmt.Fprintf(out, "; most of zone %q is dead", z.Str)
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "number\tstate\tzone\tincarnation\tsince\twhy")
	for _, m := range doc.Get("members").Array() {
		since := (time.Duration(m.Get("since_ms").Int()) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%v\t%s\n", m.Get("number").Int(), m.Get("state").Str, m.Get("zone").Str,
			m.Get("incarnation").Int(), since, m.Get("why").Str)
	}
	return w.Flush()
}
