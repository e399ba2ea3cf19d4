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

// answerBy is how long an operators' address is given, and answerMost what is read of its answer.
const (
	requestTimeout = 3 * time.Second
	maxAnswerBytes = 8 << 20
)

// get makes one call at an operators' address. The program serves as well: net/http would stand in each relay's memory for this alone.
func get(addr, path string) ([]byte, error) { return request(addr, "GET", path) }

func request(addr, method, path string) ([]byte, error) {
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		return nil, usageError{fmt.Errorf("%q is not host:port of an operators' address", addr)}
	}
	sock, err := net.DialTimeout("tcp", addr, requestTimeout)
	if err != nil {
		return nil, err
	}
	defer sock.Close()
	sock.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := fmt.Fprintf(sock, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", method, path, addr); err != nil {
		return nil, err
	}
	r := bufio.NewReader(io.LimitReader(sock, maxAnswerBytes))
	status, size := 0, -1
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, fmt.Errorf("%s%s: no whole answer: %w", addr, path, err)
		}
		line = strings.TrimRight(line, "\r\n")
		if first {
			if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &status); err != nil {
				return nil, fmt.Errorf("%s%s: %.80q is no answer", addr, path, line)
			}
		} else if line == "" {
			break
		} else if key, value, _ := strings.Cut(line, ":"); strings.EqualFold(key, "Content-Length") {
			if size, err = strconv.Atoi(strings.TrimSpace(value)); err != nil || size < 0 || size > maxAnswerBytes {
				return nil, fmt.Errorf("%s%s: length %q", addr, path, value)
			}
		}
	}
	if size < 0 {
		return nil, fmt.Errorf("%s%s: the answer tells no length", addr, path)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("%s%s: no whole answer: %w", addr, path, err)
	}
	if status != 200 {
		return nil, fmt.Errorf("%s%s: status %d: %s", addr, path, status, b)
	}
	return b, nil
}

// viewCommand asks the operators' address of a relay for one of its views and prints it.
func viewCommand(name, short, long string, table func(out io.Writer, doc gjson.Result) error) *cobra.Command {
	cmd := &cobra.Command{Use: name + " ADDR", Short: short, Args: exactArg("ADDR"), Long: long}
	cmd.Flags().Bool("json", false, "print the answer as it is")
	cmd.RunE = printView("/"+name, table)
	return cmd
}

// printView prints a view, as a table or as it came.
func printView(path string, table func(out io.Writer, doc gjson.Result) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		b, err := get(args[0], path)
		if err != nil {
			return err
		}
		if !gjson.ValidBytes(b) {
			return fmt.Errorf("%s: the answer is no JSON", args[0])
		}
		if raw, _ := cmd.Flags().GetBool("json"); raw {
			_, err := cmd.OutOrStdout().Write(b)
			return err
		}
		return table(cmd.OutOrStdout(), gjson.ParseBytes(b))
	}
}

func membersCommand() *cobra.Command {
	return viewCommand("members", "Tell which relays of the fleet a relay takes for alive", "Ask the operators' address of a relay for its view of the fleet.", membersTable)
}

func membersTable(out io.Writer, doc gjson.Result) error {
	fmt.Fprintf(out, "relay %d, version %d: %d relays may be calling", doc.Get("self").Int(), doc.Get("version").Int(), doc.Get("sharing").Int())
	if doc.Get("deaf").Bool() {
		fmt.Fprint(out, "; IT HEARS NOBODY, and may be the one that is cut off")
	}
	if doc.Get("rival").Bool() {
		fmt.Fprint(out, "; ANOTHER PROCESS SPEAKS UNDER ITS NUMBER")
	}
	for _, z := range doc.Get("zones_away").Array() {
		fmt.Fprintf(out, "; most of zone %q is away", z.Str)
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "number\tstate\tzone\tincarnation\tsince\twhy")
	for _, m := range doc.Get("members").Array() {
		since := (time.Duration(m.Get("since_ms").Int()) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%v\t%s\n", m.Get("number").Int(), m.Get("state").Str, m.Get("zone").Str, m.Get("incarnation").Int(), since, m.Get("why").Str)
	}
	return w.Flush()
}
