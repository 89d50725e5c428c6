package simulation

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// client hands a batch job in and asks for its final answer, whatever happens to the node.
func (r *killRun) client(id, track string) {
	c := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + r.listen + "/-/jobs/" + id
	until := time.Now().Add(90 * time.Second)
	acknowledged := false
	for time.Now().Before(until) {
		method, path, body := http.MethodPut, url, []byte("body of "+id)
		if acknowledged {
			method, path, body = http.MethodGet, url+"?wait_ms=1000", nil
		}
		status, text, err := r.call(c, method, path, track, body)
		var told struct{ Final string }
		switch {
		case err != nil || status == http.StatusServiceUnavailable:
			time.Sleep(30 * time.Millisecond)
		case !acknowledged && (status == http.StatusCreated || status == http.StatusOK):
			acknowledged = true
		case status != http.StatusOK:
			r.violation("%s: %s answered with status %d: %s", id, method, status, text)
			return
		case json.Unmarshal(text, &told) == nil && told.Final != "":
			r.mu.Lock()
			was := r.finals[id]
			r.finals[id] = told.Final
			r.mu.Unlock()
			if was == told.Final {
				return
			}
			if was != "" {
				r.violation("%s has two final answers, %s and %s", id, was, told.Final)
				return
			}
			time.Sleep(500 * time.Millisecond) // and asks again, perhaps another life
		}
	}
}

func (r *killRun) call(c *http.Client, method, url, track string, body []byte) (int, []byte, error) {
	m, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if method == http.MethodPut {
		m.Header.Set("X-Call-Class", track)
		m.Header.Set("X-Budget-Ms", "60000")
	}
	answer, err := c.Do(m)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, text, err
}
