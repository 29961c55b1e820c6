package daemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peridotstall/peridotstall/internal/httptransport"
)

const (
	// healthInterval is the time between two requests to the health endpoint.
	healthInterval = time.Second
	// healthTimeout limits one request.
	healthTimeout = 500 * time.Millisecond
	// maxHealthBytes is the number of bytes read from a response.
	maxHealthBytes = 1024
	// drainingStatus in a response of /health means that the backend server leaves.
	drainingStatus = "draining"
)

// watchHealth polls the health endpoint of the backend server until ctx ends. Only
// the status "draining" has an effect. Errors and "unhealthy" are ignored, because
// the endpoint lags and can be wrong; decisions about load use the agent's own
// counts.
func (a *Agent) watchHealth(ctx context.Context) {
	base := a.settings.GetBackendUrl()
	if base == "" {
		return
	}
	client := &http.Client{Transport: httptransport.New(1, healthTimeout), Timeout: healthTimeout}
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
			a.leavingByHealth.Store(draining)
			a.updateDraining()
		}
	}
}

func backendDraining(ctx context.Context, client *http.Client, url string) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(request)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	if err != nil {
		return false, err
	}
	return strings.Contains(string(body), drainingStatus), nil
}
