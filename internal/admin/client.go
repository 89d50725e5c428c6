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

// maxReplyBytes is the largest reply that Call reads. Every reply of a node is shorter.
const maxReplyBytes = 1 << 20

// Call sends a command to the node at addr and returns the lines of the node's reply. A command that only succeeds or fails has
// no such lines. executor is sent only with commands that name an executor. timeout applies to the dial, and again to the rest
// of the call. The error says why the node refused the command, or that the call failed.
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
		return nil, fmt.Errorf("cannot reach the node at %s: %w", addr, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return nil, fmt.Errorf("cannot reach the node at %s: %w", addr, err)
	}
	var lines []string
	scanner := bufio.NewScanner(io.LimitReader(conn, maxReplyBytes))
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("incomplete reply from %s: %w", addr, err)
	}
	return decodeReply(command, lines)
}
