package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// longestAnswer is more than any figures take.
const longestAnswer = 1 << 20

// Call makes one call at a node's door and gives the lines of its answer: figures, or none for a yes. Its error is the
// node's no with its reason, or says that nobody answered within the time.
func Call(addr string, order node.AdminCommand, executor policy.ExecutorID, wait time.Duration) ([]string, error) {
	line := orders[order]
	if aboutOne(order) {
		line += " " + string(executor)
	}
	if _, _, err := decode(line); err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return nil, fmt.Errorf("nobody answers at %s: %w", addr, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return nil, fmt.Errorf("nobody answers at %s: %w", addr, err)
	}
	var lines []string
	in := bufio.NewScanner(io.LimitReader(conn, longestAnswer))
	for in.Scan() {
		lines = append(lines, in.Text())
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("no whole answer from %s: %w", addr, err)
	}
	return answered(order, lines)
}

// answered reads an answer.
func answered(order node.AdminCommand, lines []string) ([]string, error) {
	if len(lines) == 0 {
		return nil, errors.New("the node closed without an answer: it has too many callers, or ends")
	}
	if reason, no := strings.CutPrefix(lines[0], "fail"); no {
		return nil, fmt.Errorf("the node says no: %s", strings.TrimSpace(reason))
	}
	if order == node.ReadMetrics || order == node.ReadFleet {
		end := slices.Index(lines, "eof")
		if end < 0 {
			return nil, errors.New("the figures have no end: the answer was cut off")
		}
		return lines[:end], nil
	}
	if lines[0] != "ok" {
		return nil, fmt.Errorf("an answer that makes no sense: %.40q", lines[0])
	}
	return nil, nil
}
