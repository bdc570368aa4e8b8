package config_test

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
)

func BenchmarkParse(b *testing.B) {
	for _, accounts := range []int{10, 1_000, 47_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			files := manyAccounts(accounts)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Parse(files); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(accounts), "ns/account")
		})
	}
}

// BenchmarkParseDangling measures files in which every key refers to a client
// account that does not exist.
func BenchmarkParseDangling(b *testing.B) {
	for _, accounts := range []int{10, 1_000, 47_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			files := manyAccounts(accounts)
			files[2].Text = strings.ReplaceAll(files[2].Text, "client-account = ", "client-account = x")
			for b.Loop() {
				if _, err := config.Parse(files); err == nil {
					b.Fatal("no findings")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(accounts), "ns/account")
		})
	}
}

// manyAccounts returns the files of a configuration of n client accounts with one
// key each.
func manyAccounts(n int) []config.File {
	var accounts, keys strings.Builder
	for i := range n {
		name := fmt.Sprintf("account-%05d", i)
		fmt.Fprintf(&accounts, "[client-account %s]\nclasses = chat, letters\nrequests-per-minute = 600\n\n", name)
		keys.WriteString(config.KeySection(config.Key{
			Name: name + "-1", ClientAccount: name, DefaultClass: "chat",
			Hash: apikey.Hash(string(binary.BigEndian.AppendUint64(nil, uint64(i)))),
		}) + "\n")
	}
	return []config.File{
		{Name: "10-classes.ini", Text: classes},
		{Name: "20-accounts.ini", Text: accounts.String()},
		{Name: "30-keys.ini", Text: keys.String()},
	}
}
