package simulation

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	clientTimeout   = 90 * time.Second // until a client gives up its job
	callTimeout     = 10 * time.Second
	clientBackoff   = 30 * time.Millisecond  // after an error or 503
	confirmDelay    = 500 * time.Millisecond // until a final answer is asked for again, perhaps of the next process
	durableBudgetMS = "60000"                // header of a submission
	pollQuery       = "?wait_ms=1000"
)

// client submits a job until it is acknowledged, and polls until it has seen one final answer twice, whatever happens to the node.
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

// recordFinal records a final answer. It says true if the client is done: the answer is confirmed, or differs from the one before.
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

// call makes one HTTP call.
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
