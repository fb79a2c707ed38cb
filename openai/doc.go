// Package openai implements the caller API. It follows the OpenAI protocol for
// completions, chat completions and models, and adds a path for plain services.
//
// The messages of a chat are joined into one prompt. Each message is written as
//
//	<|role|>
//	content
//
// followed by a newline, and the prompt ends with "<|assistant|>" and a
// newline. The prompt of a conversation followed by its response is therefore
// a prefix of the prompt of the next turn, and cached blocks can be reused. In
// message contents, "<|" is escaped as "<||", so that no content can be parsed
// as the start of a message.
//
// Sampling fields such as temperature are accepted but ignored, because the
// engine protocol has no fields for them. Requests with fields that would
// change the structure of the response (n, best_of, stop, tools, logprobs,
// echo, suffix) are refused.
package openai
