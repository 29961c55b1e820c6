package platformtest

import (
	"bytes"
	"os"
	"strconv"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Files publishes a configuration and a host list from files. It is not safe for
// concurrent use.
type Files struct {
	service *Service
	config  watchedFile
	hosts   watchedFile
}

// watchedFile is a file and its content as last read. Contents are compared, not
// modification times, because two writes within the resolution of the time would
// look equal.
type watchedFile struct {
	path string
	last []byte
}

// NewFiles returns a publisher of two files in the JSON form of the schema. It
// reads them at the first call of Read.
func NewFiles(s *Service, configPath, hostsPath string) *Files {
	return &Files{service: s, config: watchedFile{path: configPath}, hosts: watchedFile{path: hostsPath}}
}

// Read publishes the files that changed since the last call and describes what it
// published. A file that cannot be read or parsed is not published. Content that
// processes will reject is published, so that a trial can show the rejection.
func (f *Files) Read() (published []string, err error) {
	hosts, hostsErr := f.readHosts()
	config, configErr := f.readConfig()
	for _, text := range []string{hosts, config} {
		if text != "" {
			published = append(published, text)
		}
	}
	if configErr != nil {
		return published, configErr
	}
	return published, hostsErr
}

func (f *Files) readConfig() (string, error) {
	data, err := f.config.readChanged()
	if data == nil || err != nil {
		return "", err
	}
	c, err := config.Parse(data)
	if err != nil {
		return "", errors.Wrap(err, f.config.path)
	}
	if err := f.service.Publish(c); err != nil {
		return "", errors.Wrap(err, f.config.path)
	}
	return "configuration revision " + strconv.FormatUint(c.GetRevision(), 10), nil
}

func (f *Files) readHosts() (string, error) {
	data, err := f.hosts.readChanged()
	if data == nil || err != nil {
		return "", err
	}
	hosts := &schema.HostList{}
	if err := protojson.Unmarshal(data, hosts); err != nil {
		return "", errors.Wrap(err, f.hosts.path)
	}
	f.service.SetHosts(hosts)
	return "host list version " + strconv.FormatUint(hosts.GetVersion(), 10), nil
}

// readChanged returns the content if it differs from that of the last call, and
// nil otherwise.
func (f *watchedFile) readChanged() ([]byte, error) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if f.last != nil && bytes.Equal(data, f.last) {
		return nil, nil
	}
	f.last = data
	return data, nil
}
