package capacity

import (
	"strings"

	"github.com/pkg/errors"
)

// Page returns the page with its generated sections replaced by those of the
// report. A section lies between the lines "<!-- begin NAME -->" and
// "<!-- end NAME -->"; a missing line is an error.
func (r *Report) Page(page string) (string, error) {
	for _, section := range []struct{ name, content string }{
		{"size", r.sizeTable()},
		{"lines", r.lineTables()},
		{"sums", r.sumTable()},
		{"day", r.dayTable()},
		{"limits", r.limitList()},
	} {
		begin := "<!-- begin " + section.name + " -->\n"
		end := "<!-- end " + section.name + " -->\n"
		before, rest, ok := strings.Cut(page, begin)
		if !ok {
			return "", errors.Errorf("page: line %q is missing", strings.TrimSpace(begin))
		}
		_, after, ok := strings.Cut(rest, end)
		if !ok {
			return "", errors.Errorf("page: line %q is missing", strings.TrimSpace(end))
		}
		page = before + begin + "\n" + strings.TrimRight(section.content, "\n") + "\n\n" + end + after
	}
	return page, nil
}
