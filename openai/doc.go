// Package openai serves the caller API in the form of the OpenAI protocol:
// completions, chat completions and models, and the path of plain services.
//
// The messages of a chat become one prompt. Each message is written as
//
//	<|role|>
//	content
//
// followed by a newline, and the prompt ends with "<|assistant|>" and a
// newline. The prompt of a conversation together with its answer is therefore
// a prefix of the prompt of the next turn, and cached blocks stay usable. In
// contents, "<|" becomes "<||", so no content can pass for the start of a
// message.
//
// Sampling fields such as temperature are accepted and not passed on, because
// the engine protocol has no place for them. Fields that would change the form
// of the answer (n, stop, tools, logprobs, echo, suffix) are refused.
package openai
