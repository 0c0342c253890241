package jsonsplit

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// array returns an array "A" of one-letter objects that appends what it decodes to decoded.
func array(earlier *Elements[string], decoded *[]string) *Array[string] {
	return NewArray("A", earlier, func(b []byte) (string, error) {
		*decoded = append(*decoded, string(b))
		var v map[string]int
		return string(b), json.Unmarshal(b, &v)
	})
}

// Guards against decoding what has not changed, and against an element that is taken for a longer
// or shorter one.
func TestOnlyNewElementsAreDecoded(t *testing.T) {
	var decoded []string
	a := array(nil, &decoded)
	rest, ok := Split([]byte(`{"x":[{"A":[1]}], "A" : [ {"k":1}, {"k":12} ] ,"y":"]}"}`), a)
	assert.Assert(t, ok)
	assert.Equal(t, string(rest), `{"x":[{"A":[1]}], "A" : [] ,"y":"]}"}`)
	assert.DeepEqual(t, decoded, []string{`{"k":1}`, `{"k":12}`})
	earlier := a.Elements()
	decoded = nil
	a = array(&earlier, &decoded)
	_, ok = Split([]byte(`{"A":[{"k":12},{"k":1},{"k":12,"l":1}]}`), a)
	assert.Assert(t, ok)
	assert.DeepEqual(t, decoded, []string{`{"k":1}`, `{"k":12,"l":1}`})
	after := a.Elements()
	assert.DeepEqual(t, after.Values(), []string{`{"k":12}`, `{"k":1}`, `{"k":12,"l":1}`})
	assert.DeepEqual(t, earlier.Values(), []string{`{"k":1}`, `{"k":12}`})
}

// Guards against documents whose meaning is not that of their parts.
func TestAmbiguousDocumentsAreNotSplit(t *testing.T) {
	for _, doc := range []string{
		``, `[]`, `{}`, `{"A"}`, `{"A":null}`, `{"A":{}}`, `{"A":[1]}`, `{"A":[null]}`, `{"A":[{}`, `{"A":[{},]}`, `{"A":[,{}]}`,
		`{"A":[{} {}]}`, `{"A":[{]]}`, `{"a":[]}`, `{"A":[],"A":[]}`, `{"A":[],"a":1}`, `{"\u0041":[]}`, `{"A":[],"a":2}`, `{"A":[]`,
		`{"A":[{"x":"y}]}`, `{"A":[{"k":"1"}]}`, `{"B":"`, `{"B":"\`, `{"A":[{"k":` + strings.Repeat("[", 200) + `]}`,
	} {
		var decoded []string
		_, ok := Split([]byte(doc), array(nil, &decoded))
		assert.Assert(t, !ok, "%s", doc)
	}
}
