// Package docs holds the project's pages. Its tests check that the tests and
// pages they name exist.
package docs
