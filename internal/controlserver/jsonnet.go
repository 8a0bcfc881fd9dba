package controlserver

import "github.com/google/go-jsonnet"

// maxJsonnetStack bounds the call depth of a template, so that endless recursion is an error.
const maxJsonnetStack = 200

// EvaluateJsonnet evaluates a Jsonnet or JSON file and decodes the result. A field that is not known is an error.
func EvaluateJsonnet(path string, into any) error {
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxJsonnetStack
	text, err := vm.EvaluateFile(path)
	if err != nil {
		return err
	}
	return decodeStrict([]byte(text), into)
}
