package frontend

import "birchstair/policy"

// Reporter is told why requests and connections end in any way other than well. Its methods must not block. client is the address of
// the client.
type Reporter interface {
	// RequestRefused reports that the server itself has answered a request. id is empty if the request names no valid job.
	RequestRefused(id policy.JobID, client, reason string)
	// ConnectionClosed reports that the server has closed a connection.
	ConnectionClosed(client, reason string)
	// AcceptFailed reports that a connection could not be accepted. The server tries again.
	AcceptFailed(err error)
}

// noReporter is a Reporter that drops all reports.
type noReporter struct{}

// RequestRefused implements Reporter.
func (noReporter) RequestRefused(policy.JobID, string, string) {}

// ConnectionClosed implements Reporter.
func (noReporter) ConnectionClosed(string, string) {}

// AcceptFailed implements Reporter.
func (noReporter) AcceptFailed(error) {}
