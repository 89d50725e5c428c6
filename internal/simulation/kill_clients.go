package simulation

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	clientTimeout   = 90 * time.Second       // time after which a client gives up its job
	callTimeout     = 10 * time.Second       // timeout of a single HTTP request
	clientBackoff   = 30 * time.Millisecond  // time that a client waits after an error or status 503
	confirmDelay    = 500 * time.Millisecond // time between the two requests of a client for the final answer, in which the node can restart
	durableBudgetMS = "60000"                // value of the header X-Budget-Ms of a submission, in milliseconds
	pollQuery       = "?wait_ms=1000"        // query of a poll, by which the node waits up to 1 s for the final answer
)

// client submits a job repeatedly until the node acknowledges it. It then polls until it has received two final
// answers, which must be the same. It retries when the node is down or not ready.
func (r *killRun) client(id, class string) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + r.listen + "/-/jobs/" + id
	acknowledged := false
	for until := time.Now().Add(clientTimeout); time.Now().Before(until); {
		method, target, body := http.MethodPut, url, []byte("body of "+id)
		if acknowledged {
			method, target, body = http.MethodGet, url+pollQuery, nil
		}
		status, text, err := call(client, method, target, class, body)
		var answer struct{ Final string }
		switch {
		case err != nil || status == http.StatusServiceUnavailable:
			time.Sleep(clientBackoff)
		case !acknowledged && (status == http.StatusCreated || status == http.StatusOK):
			acknowledged = true
		case status != http.StatusOK:
			r.violation("%s: %s answered with status %d: %s", id, method, status, text)
			return
		case json.Unmarshal(text, &answer) == nil && answer.Final != "":
			if r.recordFinal(id, answer.Final) {
				return
			}
			time.Sleep(confirmDelay)
		}
	}
}

// recordFinal records a final answer, and a violation if the answer differs from the job's first one. It returns true
// if the job had a final answer before.
func (r *killRun) recordFinal(id, final string) (done bool) {
	r.mu.Lock()
	before := r.finals[id]
	r.finals[id] = final
	r.mu.Unlock()
	if before != "" && before != final {
		r.violation("%s has two final answers, %s and %s", id, before, final)
	}
	return before != ""
}

// call sends one HTTP request and returns the status and body of the response.
func call(client *http.Client, method, url, class string, body []byte) (status int, text []byte, err error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if method == http.MethodPut {
		request.Header.Set("X-Call-Class", class)
		request.Header.Set("X-Budget-Ms", durableBudgetMS)
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	text, err = io.ReadAll(answer.Body)
	return answer.StatusCode, text, err
}
