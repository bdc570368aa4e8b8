// Package apikey generates and hashes the API keys of client accounts.
package apikey
