package fleet

import (
	"fmt"
	"net/http"
	"time"
)

// AwaitReady waits until all daemons are ready.
func (f *Fleet) AwaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, v := range f.VMs {
		for end := time.Now().Add(readyLimit); ; time.Sleep(50 * time.Millisecond) {
			response, err := client.Get("http://" + v.Ready + "/acaciapath/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", v.Name)
			}
		}
	}
	return nil
}
