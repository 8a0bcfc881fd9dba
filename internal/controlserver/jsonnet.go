package controlserver

import "github.com/google/go-jsonnet"

// maxJsonnetStack bounds the call depth of a Jsonnet file, so that infinite recursion ends with an error.
const maxJsonnetStack = 200

// EvaluateJsonnet evaluates a Jsonnet or JSON file and decodes the result into target. Unknown fields are errors.
func EvaluateJsonnet(path string, target any) error {
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxJsonnetStack
	text, err := vm.EvaluateFile(path)
	if err != nil {
		return err
	}
	return decodeStrict([]byte(text), target)
}
