Feature: Histories that run at the same time

  Scenario: Fleets that start at the same time get addresses of their own
    When 8 searches for 25 free addresses run at once
    Then all 200 addresses differ

  Scenario: A history that breaks off counts as a violation
    When a history of "starts-once" breaks off with "no daemon was ready"
    Then the point has the status "failed" with 1 violation

  Scenario: A history without operations proves nothing
    When the histories of "starts-once" record 40, 0 operations
    Then the point has the status "unproved" with 0 violations
