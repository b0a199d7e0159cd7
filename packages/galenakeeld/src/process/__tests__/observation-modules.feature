Feature: Request records, percentiles, metric labels and redaction of logs

  Scenario: Request records stay within their limits and the oldest are evicted first
    Given request records limited to 3 entries
    When 5 requests are recorded with 10000 steps each
    Then the records of the requests "3, 4, 5" are kept
    And no record has more than 200 steps

  Scenario: Percentiles cover the last minute for a limited number of services
    Given percentiles for at most 2 services
    When durations of 1 to 1000 ms are recorded for the services "a, b, c, d"
    Then the services with percentiles are "a, b, other"
    And the quantile 0.99 of "a" is 0.99 s within a percent
    When 2 minutes pass and a duration of 5 ms is recorded for "a"
    Then the quantile 0.99 of "a" is 0.005 s within a percent

  Scenario: Quotes and backslashes in a label value are escaped
    Then a label value with a quote and a backslash is encoded with both escaped

  Scenario: Credentials in a log line are redacted
    When a line is logged with credentials at its top level, in its headers and in a request's headers
    Then the line has the event "request-incomplete" and no credentials
