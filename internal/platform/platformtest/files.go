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

// Files publishes a configuration and a host list from files.
type Files struct {
	service *Service
	config  file
	hosts   file
}

// file is a watched file with the content that was read last. The content is
// compared, because two writes within the resolution of the file time look equal.
type file struct {
	path string
	last []byte
}

// NewFiles returns the publisher of two files in the JSON form of the schema.
func NewFiles(s *Service, configPath, hostsPath string) *Files {
	return &Files{service: s, config: file{path: configPath}, hosts: file{path: hostsPath}}
}

// Read publishes the files that changed since the last call, and says what was
// published. A file that does not parse changes nothing; content that the
// processes will reject is published, so that a trial can show the rejection.
func (f *Files) Read() (published []string, err error) {
	hosts, hostsErr := f.readHosts()
	config, configErr := f.readConfig()
	for _, note := range []string{hosts, config} {
		if note != "" {
			published = append(published, note)
		}
	}
	if configErr != nil {
		return published, configErr
	}
	return published, hostsErr
}

func (f *Files) readConfig() (string, error) {
	data, err := f.config.changed()
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
	data, err := f.hosts.changed()
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

// changed returns the content when it differs from that of the last call.
func (f *file) changed() ([]byte, error) {
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
