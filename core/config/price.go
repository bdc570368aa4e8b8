package config

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"acaciapath.example/core/value"
)

// Units of prices.
const (
	perMillionTokens = "Mtok"
	perHour          = "h"
	perCall          = "call"
)

// microDigits is the number of decimal places of a millionth.
const microDigits = 6

// maxPriceMicros is the maximum price, in millionths of the currency unit.
const maxPriceMicros = 1_000_000_000_000

var (
	// decimalPattern matches an amount of money, without a sign.
	decimalPattern = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,6})?$`)
	// currencyPattern matches the form of the codes of ISO 4217.
	currencyPattern = regexp.MustCompile(`^[A-Z]{3}$`)
)

// priceParser returns a parser of prices per unit. It returns them in millionths
// of the currency unit and accepts any currency; checkCurrencies compares the
// currency with that of billing.
func priceParser(unit string) value.Parser[int64] {
	example := "0.40 USD/" + unit
	return value.Parser[int64]{
		Type:  "price, such as `" + example + "`",
		Range: "0 to 1000000, at most 6 decimals",
		Parse: func(text string) (int64, error) {
			amount, currencyAndUnit, found := strings.Cut(text, " ")
			if !found {
				return 0, merry.Errorf("%s has no unit; write a price such as %s", value.Quote(text), example)
			}
			if !decimalPattern.MatchString(amount) {
				return 0, merry.Errorf("%s is not an amount such as 0.40", value.Quote(amount))
			}
			currency, priceUnit, _ := strings.Cut(strings.TrimSpace(currencyAndUnit), "/")
			if !currencyPattern.MatchString(currency) || priceUnit != unit {
				return 0, merry.Errorf("%s is not a currency and unit such as USD/%s", value.Quote(currencyAndUnit), unit)
			}
			return parseMicros(amount)
		},
	}
}

// parseMicros returns a decimal amount in millionths. amount matches
// decimalPattern.
func parseMicros(amount string) (int64, error) {
	whole, decimals, _ := strings.Cut(amount, ".")
	decimals += strings.Repeat("0", microDigits-len(decimals))
	n, err := strconv.ParseInt(whole+decimals, 10, 64)
	if err != nil || n > maxPriceMicros {
		return 0, merry.Errorf("%s is out of the range 0 to 1000000", value.Quote(amount))
	}
	return n, nil
}

// priceCurrency returns the currency of a valid price such as "0.40 USD/Mtok".
func priceCurrency(text string) string {
	_, currencyAndUnit, _ := strings.Cut(text, " ")
	currency, _, _ := strings.Cut(strings.TrimSpace(currencyAndUnit), "/")
	return currency
}

// currencyParser returns a parser of ISO 4217 currency codes. It checks only the
// form of the code.
func currencyParser() value.Parser[string] {
	return value.Parser[string]{Type: "currency code of ISO 4217", Parse: func(text string) (string, error) {
		if !currencyPattern.MatchString(text) {
			return "", merry.Errorf("%s is not a currency code such as USD", value.Quote(text))
		}
		return text, nil
	}}
}
