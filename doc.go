// Package spoke defines the domain types and the interfaces of magnoliaspoke,
// a serving system for language models whose prompts recur after long gaps.
package spoke
