package daemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// healthInterval is the interval at which the backend server is asked.
	healthInterval = time.Second
	// healthTimeout bounds one call.
	healthTimeout = 500 * time.Millisecond
	// maxHealthBody is what is read of an answer, in bytes.
	maxHealthBody = 1024
	// drainingWord in the answer of /health means that the backend server leaves.
	drainingWord = "draining"
)

// watchHealth follows the health endpoint of the backend server. Only the word
// "draining" counts: the endpoint lags and misleads, so that errors and "unhealthy"
// change nothing; the agent's own counts decide about load.
func (a *Agent) watchHealth(ctx context.Context) {
	base := a.settings.GetBackendUrl()
	if base == "" {
		return
	}
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			draining, err := backendDraining(ctx, client, strings.TrimSuffix(base, "/")+"/health")
			if err != nil {
				continue
			}
			a.healthLeaving.Store(draining)
			a.follow()
		}
	}
}

func backendDraining(ctx context.Context, client *http.Client, url string) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	answer, err := client.Do(request)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHealthBody))
	if err != nil {
		return false, err
	}
	return strings.Contains(string(body), drainingWord), nil
}
