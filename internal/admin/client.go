package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// maxReplyBytes is more than any reply takes.
const maxReplyBytes = 1 << 20

// Call sends a command to the node at addr and returns the lines of its reply: none for commands that only succeed or
// fail. executor is for the commands that name one. timeout bounds the dial, and then the exchange. An error says that
// the node refused, with its reason, or that it could not be reached.
func Call(addr string, command node.AdminCommand, executor policy.ExecutorID, timeout time.Duration) ([]string, error) {
	line := commandNames[command]
	if takesExecutor(command) {
		line += " " + string(executor)
	}
	if _, _, err := decode(line); err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("nobody answers at %s: %w", addr, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return nil, fmt.Errorf("nobody answers at %s: %w", addr, err)
	}
	var lines []string
	scanner := bufio.NewScanner(io.LimitReader(conn, maxReplyBytes))
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("no whole answer from %s: %w", addr, err)
	}
	return decodeReply(command, lines)
}
