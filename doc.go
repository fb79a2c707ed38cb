// Package spoke defines the domain types and the interfaces of magnoliaspoke,
// a serving system for language-model prompts that return after long gaps.
package spoke
