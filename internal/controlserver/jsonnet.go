package controlserver

import "github.com/google/go-jsonnet"

// maxJsonnetStack ends templates that call themselves for ever.
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
