package command

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// lineMax is the longest log line that is read, in bytes.
const lineMax = 1 << 20

// logLine is one line of a daemon's log.
type logLine struct {
	Time    string         `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
	// Source is the file that the line is from.
	Source string `json:"source"`
}

// selection says which lines belong together.
type selection struct {
	request, instance string
	version           uint64
}

func (a *app) explainCommand() *cobra.Command {
	var s selection
	cmd := &cobra.Command{
		Use:   "explain [REQUEST-ID] [--target INSTANCE | --version VERSION] [--log FILE...]",
		Short: "Put the log lines of a request, target or configuration version in order",
		Long: "Reads the logs of any number of daemons, from files given with --log or from standard input, and prints the\n" +
			"decisions on one request, target instance or configuration version in order of time.",
		RunE: func(cmd *cobra.Command, values []string) error {
			files, err := cmd.Flags().GetStringArray("log")
			if err != nil {
				return err
			}
			if len(values) > 0 {
				s.request = values[0]
			}
			if (s.request != "") == (s.instance != "" || s.version != 0) || len(values) > 1 {
				return usage(errors.New("give a request id, --target or --version"))
			}
			lines, err := collect(cmd.InOrStdin(), files, s)
			if err != nil {
				return err
			}
			return a.printExplanation(cmd.OutOrStdout(), s, lines)
		},
	}
	cmd.Flags().StringVar(&s.instance, "target", "", "instance of a target")
	cmd.Flags().Uint64Var(&s.version, "version", 0, "configuration version")
	cmd.Flags().StringArray("log", nil, "log file; may be repeated; standard input without it")
	return cmd
}

// collect returns the selected lines in order of time.
func collect(in io.Reader, files []string, s selection) ([]logLine, error) {
	if len(files) == 0 {
		return sortLines(readLog(in, "standard input", s))
	}
	var all []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := readLog(file, name, s)
		file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return sortLines(all, nil)
}

func sortLines(lines []logLine, err error) ([]logLine, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	return lines, err
}

// readLog returns the selected lines of one log. What stands before the JSON of a line, such as the name of a node, becomes
// part of its source; lines without JSON are passed over.
func readLog(in io.Reader, source string, s selection) ([]logLine, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineMax)
	var lines []logLine
	for scanner.Scan() {
		prefix, text, found := strings.Cut(scanner.Text(), "{")
		var l logLine
		if !found || json.Unmarshal([]byte("{"+text), &l) != nil || !s.matches(l) {
			continue
		}
		l.Source = strings.TrimSpace(source + " " + strings.TrimSpace(prefix))
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

func (s selection) matches(l logLine) bool {
	switch {
	case s.request != "":
		return l.Fields["request"] == s.request
	case s.instance != "":
		return l.Fields["instance"] == s.instance
	default:
		version, ok := l.Fields["version"].(float64)
		return ok && uint64(version) == s.version && !strings.HasPrefix(fmt.Sprint(l.Fields["event"]), "request")
	}
}

func (a *app) printExplanation(w io.Writer, s selection, lines []logLine) error {
	if a.printer.Format == "json" {
		return json.NewEncoder(w).Encode(lines)
	}
	for _, l := range lines {
		fmt.Fprintf(w, "%s  %s  %s\n", l.Time, l.Source, l.Message)
		for _, name := range sortedNames(l.Fields) {
			fmt.Fprintf(w, "    %s: %v\n", name, l.Fields[name])
		}
	}
	for _, gap := range s.missing(lines) {
		fmt.Fprintln(w, "missing:", gap)
	}
	return nil
}

func sortedNames(fields map[string]any) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// missing names what the lines of a request should contain and do not.
func (s selection) missing(lines []logLine) []string {
	if len(lines) == 0 {
		return []string{"no line; the process may have been killed, or the line was suppressed: look for log_suppressed"}
	}
	if s.request == "" {
		return nil
	}
	executed := make(map[string]bool)
	var entry string
	for _, l := range lines {
		switch l.Fields["event"] {
		case "request", "request_failed":
			entry = fmt.Sprint(l.Fields["attempts"])
		case "execute":
			executed[fmt.Sprint(l.Fields["outcome"], " ", l.Fields["reason"])] = true
		}
	}
	if entry == "" {
		return []string{"the line of the node that took the request; it may have been killed before the end"}
	}
	var gaps []string
	for attempt := range strings.SplitSeq(entry, "; ") {
		words := strings.Fields(attempt)
		if len(words) < 3 || words[1] == "answered" || words[2] == "connect_failed" || executed[words[1]+" "+words[2]] {
			continue
		}
		gaps = append(gaps, "the line of the executing node on the attempt "+attempt)
	}
	return gaps
}
